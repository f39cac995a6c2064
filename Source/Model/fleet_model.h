// Simulates a whole deployment in virtual time. Control and entry instances are
// the real state machines. The routers that spread callers over entry
// instances, the callers with their retransmissions and retries, and the
// targets with their slots and queues are simulated.
//
// Simplifications: packets aren't lost and take a fixed time; an answer of
// several packets arrives at once; control instances store no records and
// aren't restarted; targets that have just started aren't slower than others.
#ifndef LAVENDERTACK_MODEL_FLEET_MODEL_H_
#define LAVENDERTACK_MODEL_FLEET_MODEL_H_

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/event_queue.h"
#include "Control/control_instance.h"
#include "Entry/entry_instance.h"
#include "Model/scenario.h"

namespace lavendertack {

// Counts of the requests of one class, without those of the warm-up and those
// whose deadline is after the end of the run.
struct class_result {
  std::uint64_t requests = 0;          // The sum of the four counts below.
  std::uint64_t within_objective = 0;  // Answered within the latency objective.
  std::uint64_t late = 0;              // Answered later.
  std::uint64_t refused = 0;  // The last try was refused or shed, and not run.
  std::uint64_t failed = 0;   // No answer, or the flow was reset.
  std::vector<microseconds> latencies;  // Latencies of the answered requests.
};

// Results of a run.
struct model_result {
  std::map<std::string, class_result> classes;
  std::uint64_t flows = 0;  // Opened flows.
  // Open flows that were reset or whose packets weren't forwarded until the
  // deadline although their target was alive.
  std::uint64_t broken_flows = 0;
  // By service: requests at the busiest target divided by the mean over
  // targets. Targets affected by a fault aren't included.
  std::map<service_name, double> imbalance;
};

// One simulated deployment, for one run.
class fleet_model {
 public:
  // Equal arguments give equal results.
  fleet_model(model_scenario scenario, model_policy policy, std::uint64_t seed);
  ~fleet_model();

  // Runs the scenario to its end. May be called once.
  model_result Run();

 private:
  struct target_state;
  struct entry_state;
  struct flow_state;
  struct request_state;
  struct packet_in_transit;
  using flow_ref = std::shared_ptr<flow_state>;
  using request_ref = std::shared_ptr<request_state>;

  // Control and entry instances.
  void StartControls();
  void StartEntry(std::size_t i);
  void TickControl(std::size_t i);
  void TickEntry(std::size_t i, std::uint64_t generation);
  void Dispatch(std::size_t i, const control_event& event);
  void SendToControl(const instance_name& name, const link_id& link,
                     wire::fleet_message message);
  void DeliverReply(const link_id& to, const wire::fleet_message& message);
  const known_target* SelectTarget(
      const std::vector<const known_target*>& candidates);

  // Targets.
  void AddTargets();
  void SendReport(std::size_t i);
  void EnqueueRequest(std::size_t i, const request_ref& request);
  void StartProcessing(std::size_t i, const request_ref& request);
  void FinishProcessing(std::size_t i, std::uint64_t attempt,
                        const request_ref& request);
  void StartDrain(std::size_t i);
  void FinishDrain(std::size_t i);

  // Callers.
  void ScheduleNextRequest(std::size_t class_index);
  void StartRequest(std::size_t class_index);
  void StartTry(const request_ref& request);
  void SendOpeningPacket(const request_ref& request,
                         std::uint32_t retransmission);
  void SendRequest(const request_ref& request, milliseconds resend_interval);
  void HandleFlowOpened(const request_ref& request);
  void HandleAnswer(const request_ref& request);
  // Ends the current try and schedules the next one if tries are left. A
  // request that isn't repeatable is tried again only if it certainly hasn't
  // run.
  void EndTry(const request_ref& request, bool refused, bool certainly_not_run);
  // The flow was reset by an entry instance that found its target to be lost.
  void HandleLostFlow(const flow_key& key);
  // Counts the request as refused or failed.
  void RecordUnserved(const request_ref& request, bool refused);

  // Packets on their way to entry instances and targets.
  void SendPacket(const request_ref& request, const flow_packet& packet);
  void ArriveAtEntry(const packet_in_transit& sent, std::size_t i);
  void ArriveAtTarget(const packet_in_transit& sent, std::size_t i,
                      target_tag tag);
  flow_packet MakePacket(const flow_state& from) const;
  microseconds PathDelay(std::size_t data_centre, std::size_t target) const;
  void InjectFault(const model_fault& fault);
  bool IsCounted(const request_state& request) const;
  model_result CollectResults();

  instant Now() const { return queue_.Now(); }
  double Random() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  model_scenario scenario_;
  model_policy policy_;
  event_queue queue_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<control_instance>> controls_;
  std::vector<entry_state> entries_;
  std::vector<target_state> targets_;
  std::map<target_id, std::size_t> target_index_;
  // Open flows without a pending request, by class and data centre.
  std::map<std::pair<std::size_t, std::size_t>, std::vector<flow_ref>>
      idle_flows_;
  // The request that used each flow last.
  std::unordered_map<flow_key, std::weak_ptr<request_state>> last_requests_;
  std::uint32_t last_caller_number_ = 0;
  std::uint64_t last_order_id_ = 0;
  instant traffic_start_;
  model_result result_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_MODEL_FLEET_MODEL_H_
