package org.cornelspoke.daemon.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.cornelspoke.coordination.admission.DefaultUpstreamGate;
import org.cornelspoke.coordination.admission.GateLoad;
import org.cornelspoke.coordination.admission.LearnedCapacity;
import org.cornelspoke.coordination.admission.LearnedLimit;
import org.cornelspoke.coordination.admission.UpstreamGate;
import org.cornelspoke.coordination.routing.RequestKind;
import org.cornelspoke.coordination.routing.TargetSelector;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.registry.Target;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Two daemons with sockets: the estimate reaches callers, and a daemon that has restarted. */
class LearnedCapacityLinkTest {

  private static final long WORK_MILLIS = 20;
  private static final long SILENCE_MILLIS = 300;

  private final TestFleet fleet = new TestFleet();
  private final RecordingSelector edgeSelector = new RecordingSelector();

  /** Records the estimates that replies carry; concurrency 0 stands for none. */
  private static final class RecordingSelector implements TargetSelector {
    private final TargetSelector delegate = new Fakes.FirstUntriedSelector();
    private final List<Integer> concurrencies = new CopyOnWriteArrayList<>();
    private final List<Long> workNanos = new CopyOnWriteArrayList<>();

    @Override
    public void setTargets(Map<ServiceName, List<Target>> targets, long nowNanos) {
      delegate.setTargets(targets, nowNanos);
    }

    @Override
    public Optional<Target> select(ServiceName service, Set<TargetId> excluded, long nowNanos) {
      return delegate.select(service, excluded, nowNanos);
    }

    @Override
    public void onResult(
        TargetId target, RequestKind kind, AttemptResult result, long latencyNanos, long nowNanos) {
      delegate.onResult(target, kind, result, latencyNanos, nowNanos);
    }

    @Override
    public void onLoad(TargetId target, GateLoad load, long nowNanos) {
      delegate.onLoad(target, load, nowNanos);
    }

    @Override
    public void onEstimate(
        TargetId target, RequestKind kind, int concurrency, long newWorkNanos, long nowNanos) {
      concurrencies.add(concurrency);
      workNanos.add(newWorkNanos);
    }
  }

  private static final class LearningGates implements GateFactory {
    @Override
    public UpstreamGate create(ServiceName service, int slots, long nowNanos) {
      throw new AssertionError("the daemon must create learning gates");
    }

    @Override
    public LearningGate createLearning(ServiceName service, int slots, long nowNanos) {
      long windowNanos = TimeUnit.MILLISECONDS.toNanos(100);
      LearnedLimit limit = new LearnedLimit(slots, 0.25, windowNanos);
      return new LearningGate(
          new DefaultUpstreamGate(TestFleet.preset("ordinary", 2, false), limit),
          Optional.of(new LearnedCapacity(limit, windowNanos)));
    }
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  /** Guards against estimates that don't reach callers or are lost with the target's daemon. */
  @Test
  void estimateReachesCallersAndSurvivesARestartOfItsDaemon() throws Exception {
    try (StandInUpstream upstream =
        new StandInUpstream(
            (head, body, socket) -> {
              Thread.sleep(WORK_MILLIS);
              StandInUpstream.respond(socket, 200, "ok");
            })) {
      fleet.setGates(new LearningGates());
      fleet.localApi =
          registration ->
              new LocalApi(new NamingRegistration(registration, () -> new ProcessId("i-1", 7)));
      TrafficDaemon target = fleet.startWith("target", "svc", upstream);
      TrafficDaemon edge = fleet.start("edge", edgeSelector);
      fleet.awaitRoute(edge, "/open");
      for (int i = 0; i < 10; i++) {
        get(edge);
      }
      int last = edgeSelector.concurrencies.size() - 1;
      assertThat(edgeSelector.concurrencies.get(last)).isEqualTo(9);
      assertThat(edgeSelector.workNanos.get(last))
          .isAtLeast(TimeUnit.MILLISECONDS.toNanos(WORK_MILLIS));

      target.stop().get();
      Thread.sleep(SILENCE_MILLIS);
      edgeSelector.concurrencies.clear();
      fleet.startWith("target", "svc", upstream);
      fleet.awaitRoute(edge, "/open");
      assertThat(edgeSelector.concurrencies.get(0)).isEqualTo(9);
    }
  }

  private static void get(TrafficDaemon edge) throws IOException {
    RawClient.once(edge.edgeAddress(), RawClient.request("GET", "/open", ""));
  }
}
