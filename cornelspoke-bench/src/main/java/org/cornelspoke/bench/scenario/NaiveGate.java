package org.cornelspoke.bench.scenario;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.cornelspoke.coordination.admission.Completion;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.admission.GateRequest;
import org.cornelspoke.coordination.admission.StatedRate;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.state.config.Preset;

/**
 * Baseline gate: limits concurrency to the announced slots, with one FIFO queue for all requests.
 */
final class NaiveGate implements UpstreamGate {

  private static final int QUEUE_LIMIT = 1000;

  private record QueuedRequest(Listener listener) implements Ticket {}

  private final Deque<QueuedRequest> queue = new ArrayDeque<>();
  private int limit;
  private int inFlight;

  NaiveGate(int slots) {
    limit = slots;
  }

  @Override
  public Ticket submit(GateRequest request, Listener listener, long nowNanos) {
    QueuedRequest queued = new QueuedRequest(listener);
    if (queue.size() >= QUEUE_LIMIT) {
      listener.onRefused(RefusalReason.OVERLOAD, 1000);
    } else {
      queue.add(queued);
      dispatch();
    }
    return queued;
  }

  @Override
  public void complete(Ticket ticket, Completion completion, long nowNanos) {
    inFlight--;
    dispatch();
  }

  @Override
  public boolean cancel(Ticket ticket, long nowNanos) {
    return queue.removeIf(queued -> queued == ticket);
  }

  @Override
  public void onTick(long nowNanos) {
    dispatch();
  }

  @Override
  public void applyPreset(Preset preset) {
    // The baseline ignores presets.
  }

  @Override
  public void setAnnouncedSlots(int slots) {
    limit = slots;
  }

  @Override
  public void setRateLimit(Optional<StatedRate> rate, long nowNanos) {
    // The naive gate ignores what its upstream states.
  }

  @Override
  public void setDraining(boolean draining) {
    // No scenario drains a target.
  }

  @Override
  public void setEvacuated(boolean evacuated) {
    // No scenario evacuates a data centre.
  }

  @Override
  public GateLoad load() {
    return new GateLoad(inFlight, queue.size(), limit);
  }

  private void dispatch() {
    while (inFlight < limit && !queue.isEmpty()) {
      inFlight++;
      queue.poll().listener().onAdmitted();
    }
  }
}
