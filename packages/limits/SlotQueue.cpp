#include "limits/SlotQueue.h"

namespace shallot {

AdmissionDecision SlotQueue::refusal(ResultCode Code) const {
  return AdmissionDecision::refuse(Code,
                                   clampRetryAfter(expectedWait(Queue.size())));
}

Duration SlotQueue::expectedWait(std::size_t Ahead) const {
  if (Slots == 0)
    return MaxRetryAfter;
  return ServiceTime.value() * static_cast<std::int64_t>(Ahead + 1) / Slots;
}

std::size_t SlotQueue::aheadOf(const Key &K) const {
  return static_cast<std::size_t>(
      std::distance(Queue.begin(), Queue.lower_bound(K)));
}

AdmissionDecision SlotQueue::offer(const SlotRequest &R, Instant Now) {
  if (Slots == 0)
    return refusal(ResultCode::NoHolder);
  if (R.Deadline <= Now)
    return refusal(ResultCode::WouldMissDeadline);
  // A free slot is always used, however long the typical service time: an
  // estimate that led to refusing everything would never be measured again.
  if (InWork.size() < Slots && Queue.empty()) {
    InWork.insert(R.Id);
    return AdmissionDecision::start();
  }
  Key K{R.Priority, R.Deadline, Arrivals++, R.Id};
  if (Now + expectedWait(aheadOf(K)) + ServiceTime.value() > R.Deadline)
    return refusal(ResultCode::WouldMissDeadline);
  if (Queue.size() >= MaxSlotWaiting && !evictLowerPriority(R.Priority))
    return refusal(ResultCode::QueueFull);
  enqueue(K);
  return AdmissionDecision::wait();
}

bool SlotQueue::evictLowerPriority(unsigned ForPriority) {
  const Key &Worst = *Queue.rbegin();
  if (ForPriority >= Worst.Priority)
    return false;
  TicketId Id = Worst.Id;
  Displaced.push_back({Id, refusal(ResultCode::QueueFull)});
  remove(Id);
  return true;
}

void SlotQueue::enqueue(const Key &K) {
  Queue.insert(K);
  ByDeadline.insert({K.Deadline, K.Id});
  Waiting[K.Id] = K;
}

void SlotQueue::remove(TicketId Id) {
  auto It = Waiting.find(Id);
  Queue.erase(It->second);
  ByDeadline.erase({It->second.Deadline, Id});
  Waiting.erase(It);
}

void SlotQueue::done(TicketId Id, Duration Took) {
  if (InWork.erase(Id) == 0)
    return;
  ServiceTime.add(Took);
}

bool SlotQueue::cancel(TicketId Id) {
  if (InWork.erase(Id) > 0)
    return true;
  if (!Waiting.contains(Id))
    return false;
  remove(Id);
  return true;
}

void SlotQueue::setShare(Share S) { Slots = S.Slots; }

AdmissionEvents SlotQueue::poll(Instant Now) {
  AdmissionEvents Out;
  Out.swap(Displaced);
  if (Slots == 0)
    refuseAll(Out);
  refuseExpired(Now, Out);
  while (InWork.size() < Slots && !Queue.empty()) {
    TicketId Id = Queue.begin()->Id;
    remove(Id);
    InWork.insert(Id);
    Out.push_back({Id, AdmissionDecision::start()});
  }
  return Out;
}

void SlotQueue::refuseExpired(Instant Now, AdmissionEvents &Out) {
  // The requests refused here have time left, so the sender can try another
  // upstream or answer the caller before the deadline.
  while (!ByDeadline.empty() &&
         ByDeadline.begin()->first < Now + ServiceTime.value()) {
    TicketId Id = ByDeadline.begin()->second;
    remove(Id);
    Out.push_back({Id, refusal(ResultCode::WouldMissDeadline)});
  }
}

void SlotQueue::refuseAll(AdmissionEvents &Out) {
  while (!Queue.empty()) {
    TicketId Id = Queue.begin()->Id;
    remove(Id);
    Out.push_back({Id, refusal(ResultCode::NoHolder)});
  }
}

std::optional<Instant> SlotQueue::nextExpiry() const {
  if (ByDeadline.empty())
    return std::nullopt;
  return ByDeadline.begin()->first - ServiceTime.value() + Duration(1);
}

SlotQueueReport SlotQueue::report() const {
  SlotQueueReport R;
  R.InWork = static_cast<unsigned>(InWork.size());
  R.Waiting = static_cast<unsigned>(Queue.size());
  R.Slots = Slots;
  R.ServiceTime = ServiceTime.value();
  bool Free = InWork.size() < Slots && Queue.empty();
  R.ExpectedWait = Free ? Duration{0} : expectedWait(Queue.size());
  return R;
}

} // namespace shallot
