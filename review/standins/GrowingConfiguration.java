import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * An operator changes the configuration some hundred times in a row, each change on top of the last
 * acknowledged one. With trouble, the configuration has grown by many routes before.
 */
final class GrowingConfiguration {

  private static final int CORE_COUNT = 3;
  private static final int BASE_ROUTES = 12;
  private static final int MORE_ROUTES = 3 * 1_300;
  private static final int CHANGES = 600;
  private static final long CHANGES_END_MILLIS = 90_000;
  private static final long RECOVERY_MILLIS = 15_000;

  private static volatile boolean over;

  private GrowingConfiguration() {}

  public static void main(String[] args) {
    boolean trouble = !args[0].equals("0");
    int result = 2;
    try (Fleet fleet = new Fleet(Path.of(args[1]), CORE_COUNT)) {
      result = run(fleet, trouble);
      fleet.record("exit %d", result);
    } catch (Exception e) {
      e.printStackTrace();
      result = 2;
    }
    System.exit(result);
  }

  private static int run(Fleet fleet, boolean trouble) throws Exception {
    for (int i = 0; i < CORE_COUNT; i++) {
      fleet.startCore(i, true);
    }
    AtomicIntegerArray ends = new AtomicIntegerArray(CORE_COUNT);
    Target.daemonThread(() -> supervise(fleet, ends));
    Operator operator = new Operator(fleet, CORE_COUNT);
    byte[] first = configuration(1, BASE_ROUTES);
    if (operator.replace(0, first, 20_000) != 200) {
      fleet.record("the first configuration was not acknowledged");
      return 2;
    }
    long acknowledged = 1;
    int routes = BASE_ROUTES + (trouble ? MORE_ROUTES : 0);
    for (int i = 0; i < CHANGES && fleet.nowMillis() < CHANGES_END_MILLIS; i++) {
      long version = acknowledged + 1 + i % 3;
      byte[] body = configuration(version, routes);
      int status = operator.replace(acknowledged, body, CHANGES_END_MILLIS);
      if (i % 50 == 0 || status != 200) {
        fleet.record("change %d, version %08x, %d bytes: %d", i, version, body.length, status);
      }
      if (status != 200) {
        break;
      }
      acknowledged = version;
    }
    fleet.record("last acknowledged version %08x", acknowledged);
    boolean readBack = false;
    boolean older = false;
    long end = fleet.nowMillis() + RECOVERY_MILLIS;
    while (fleet.nowMillis() < end && !readBack) {
      for (int i = 0; i < CORE_COUNT; i++) {
        String text = operator.get(i);
        long version = Operator.versionOf(text);
        if (version >= 0) {
          older |= version < acknowledged;
          readBack |= version >= acknowledged;
        }
      }
      Thread.sleep(300);
    }
    fleet.record("read back: %s, older: %s", readBack, older);
    over = true;
    // The rule "Fault": on half of the core, processes end by themselves three times.
    int fallen = 0;
    for (int i = 0; i < CORE_COUNT; i++) {
      fleet.record("core-%d ended by itself %d times", i, ends.get(i));
      fallen += ends.get(i) >= 3 ? 1 : 0;
    }
    return readBack && !older && 2 * fallen < CORE_COUNT ? 0 : 1;
  }

  /** Starts a process that has ended by itself again, as the platform does. */
  private static void supervise(Fleet fleet, AtomicIntegerArray ends) {
    try {
      while (!over) {
        for (int i = 0; i < CORE_COUNT; i++) {
          if (!over && !fleet.isRunning("core-" + i)) {
            ends.incrementAndGet(i);
            fleet.record("core-%d ended by itself, exit code %d", i, fleet.exitCode("core-" + i));
            Thread.sleep(1_000);
            fleet.startCore(i, false);
          }
        }
        Thread.sleep(100);
      }
    } catch (InterruptedException | java.io.IOException | IllegalStateException e) {
      // The run is over.
    }
  }

  private static byte[] configuration(long version, int count) {
    List<String> rows = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      // One row is split and the next is plain, as in the example of the pages.
      String target =
          i % 2 == 0
              ? "[{\"service\":\"huvo11a\",\"weight\":90},{\"service\":\"lovo22d\",\"weight\":10}],2,false,null"
              : "null,2,false,\"huvo11a\"";
      rows.add(
          String.format(
              "[\"r-%07d\",\"hulo%d.example\",\"/leny%05d/\",\"safe\",\"%dms\",\"1500ms\",2,%s]",
              i, i % 7, i, i == 0 ? 6_000 + version : 6_000, target));
    }
    return Operator.configuration(
        version, rows, List.of("huvo11a", "lovo22d"), List.of("[\"pulo780\",[\"6wsjnbanfqasnm\"],1,72,72]"));
  }
}
