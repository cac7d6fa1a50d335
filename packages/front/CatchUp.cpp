//===- CatchUp.cpp --------------------------------------------------------===//
#include "front/CatchUp.h"

namespace shallot {

bool CatchUp::shouldSwitch(bool Behind, bool Progressing, Instant Now) {
  if (!Behind) {
    WaitingSince.reset();
    return false;
  }
  if (!WaitingSince || Progressing) {
    WaitingSince = Now;
    return false;
  }
  if (Now - *WaitingSince < Timeout)
    return false;
  WaitingSince = Now;
  return true;
}

} // namespace shallot
