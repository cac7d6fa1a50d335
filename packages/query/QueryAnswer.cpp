#include "query/QueryAnswer.h"

namespace shallot {

double Coverage::share() const {
  return BooksAsked == 0 ? 0
                         : static_cast<double>(BooksAnswered) /
                               static_cast<double>(BooksAsked);
}

} // namespace shallot
