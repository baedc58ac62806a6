package org.cornelspoke.bench.dissemination;

import java.io.PrintStream;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.cornelspoke.coordination.dissemination.ControlMessage;
import org.cornelspoke.coordination.dissemination.RelayOrder;
import org.cornelspoke.coordination.dissemination.ViewTracker;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.protocol.control.ControlCodec;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ConfigChange;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.ConfigState;
import org.cornelspoke.state.registry.Registry;
import org.cornelspoke.state.registry.RegistryChange;
import org.cornelspoke.state.registry.Target;

/** Measures the heap memory used by the view of a daemon and the state of a relay. */
final class MemoryMeasurement {

  private static final int ENTITIES_PER_CHUNK = 1_000;
  private static final int GC_CYCLES = 4;
  private static final int TARGETS_PER_SERVICE = 20;

  private final PrintStream out;

  MemoryMeasurement(PrintStream out) {
    this.out = out;
  }

  void run(List<Integer> sizes) throws InterruptedException {
    // Loads classes and frees the garbage of earlier measurements.
    usedHeapBytes();
    configView(accounts(sizes.get(0)));
    targetView(sizes.get(0));
    measureRow("daemon heap (bytes), by accounts", sizes, n -> configView(accounts(n)));
    measureRow("daemon heap (bytes), by keys", sizes, n -> configView(keys(n)));
    measureRow("daemon heap (bytes), by targets", sizes, MemoryMeasurement::targetView);
    measureRow(
        "relay heap (bytes), by keys, all given one by one", sizes, MemoryMeasurement::configState);
    measureRow("relay heap (bytes), by targets", sizes, MemoryMeasurement::registry);
  }

  private void measureRow(String name, List<Integer> sizes, IntFunction<Object> factory)
      throws InterruptedException {
    List<double[]> points = new ArrayList<>();
    StringBuilder values = new StringBuilder();
    for (int size : sizes) {
      long baselineBytes = usedHeapBytes();
      Object retained = factory.apply(size);
      long bytes;
      try {
        bytes = usedHeapBytes() - baselineBytes;
      } finally {
        Reference.reachabilityFence(retained);
      }
      points.add(new double[] {size, bytes});
      values.append(String.format(Locale.ROOT, " %d: %.2f MB;", size, bytes / 1e6));
    }
    DisseminationBench.printFit(out, name + " (" + values.toString().strip() + ")", points);
  }

  private static long usedHeapBytes() throws InterruptedException {
    for (int i = 0; i < GC_CYCLES; i++) {
      System.gc();
      Thread.sleep(50);
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static List<ConfigEntity> accounts(int count) {
    List<ConfigEntity> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      result.add(Fleet.account(i, 5));
    }
    return result;
  }

  private static List<ConfigEntity> keys(int count) {
    List<ConfigEntity> result = new ArrayList<>(accounts(8));
    for (int i = 0; i < count; i++) {
      result.add(Fleet.key(i, i % 8));
    }
    return result;
  }

  /** Decodes each chunk from bytes, so that the view shares no object with the sender. */
  private static Object configView(List<ConfigEntity> entities) {
    ViewTracker tracker = newTracker(Set.of());
    for (int from = 0; from < entities.size(); from += ENTITIES_PER_CHUNK) {
      int to = Math.min(entities.size(), from + ENTITIES_PER_CHUNK);
      receive(
          tracker,
          new ControlMessage.ConfigSnapshot(
              new Revision(1), from == 0, to == entities.size(), entities.subList(from, to)));
    }
    return List.of(tracker, tracker.view());
  }

  private static Object targetView(int count) {
    int services = count / TARGETS_PER_SERVICE;
    Set<ServiceName> serviceNames =
        Set.copyOf(IntStream.range(0, services).mapToObj(i -> Fleet.service(i, services)).toList());
    ViewTracker tracker = newTracker(serviceNames);
    if (tracker.nextRelay(0).isEmpty()) {
      throw new IllegalStateException("tracker selected no relay");
    }
    tracker.onConnected(0);
    for (int service = 0; service < services; service++) {
      List<Target> liveTargets = new ArrayList<>();
      for (int i = service; i < count; i += services) {
        liveTargets.add(Fleet.target(i, services));
      }
      receive(
          tracker,
          new ControlMessage.RegistryDelta(
              Fleet.service(service, services), 0, 1, true, true, liveTargets, List.of()));
    }
    return List.of(tracker, tracker.view());
  }

  private static Object configState(int count) {
    ConfigState state = new ConfigState();
    apply(state, 0, new ConfigChange.CreateAccount(Fleet.account(0, 5)));
    for (int i = 1; i <= count; i++) {
      apply(state, i, new ConfigChange.GiveKey(Fleet.key(i, 0)));
    }
    return state;
  }

  private static Object registry(int count) {
    Registry registry = new Registry();
    for (int i = 0; i < count; i++) {
      registry.apply(
          List.of(new RegistryChange.Register(Fleet.target(i, count / TARGETS_PER_SERVICE))));
    }
    return registry;
  }

  private static void apply(ConfigState state, int number, ConfigChange change) {
    state.apply(
        new ChangeRequest(
            new RequestId("r" + number),
            new OperatorId("bench"),
            Optional.empty(),
            number,
            change));
  }

  private static void receive(ViewTracker tracker, ControlMessage message) {
    if (!tracker.receive(ControlCodec.decode(ControlCodec.encode(message)), 0)) {
      throw new IllegalStateException("tracker refused the message");
    }
  }

  private static ViewTracker newTracker(Set<ServiceName> services) {
    return new ViewTracker(
        new DaemonId("d"),
        new DataCentreId("dc"),
        1,
        services,
        1,
        RelayOrder.LISTED,
        new SplittableRandom(1));
  }
}
