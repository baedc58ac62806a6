package review2;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A target deregisters; the daemon beside it is killed and started again; then a heartbeat that the
 * target had sent before it deregistered arrives late.
 */
public final class LateBeatCase {

  private static final long CONTACT_MILLIS = 3_000;
  private static final long DRAIN_MILLIS = 2_000;

  private LateBeatCase() {}

  /** Runs the case and ends with its exit status. */
  public static void main(String[] args) throws Exception {
    int status = 2;
    try (Lab lab = new Lab(Path.of(args[0]))) {
      status = run(lab);
    }
    System.exit(status);
  }

  private static int run(Lab lab) throws Exception {
    for (int i = 0; i < 3; i++) {
      lab.start(lab.addCore());
    }
    Lab.Machine edge = lab.addSidecar("iskedyul", 0);
    Lab.Machine leaving = lab.addSidecar("pasok", 0);
    Lab.Machine staying = lab.addSidecar("pasok", 1);
    for (Lab.Machine machine : lab.sidecars) {
      lab.start(machine);
    }
    Map<String, Long> arrivals = new ConcurrentHashMap<>();
    Target.Behaviour work =
        (target, head, in, out) -> {
          Http.readBody(in, head);
          arrivals.put(target.id + " " + head.header("x-request-id"), lab.millis());
          lab.log("run", head.header("x-request-id") + " at " + target.id);
          Thread.sleep(78);
          target.answer(out, head, 200, new byte[500], "");
          return true;
        };
    Target first = lab.own(new Target(lab, leaving, "i-leaving", 355, work));
    lab.own(new Target(lab, staying, "i-staying", 355, work));
    Config config = new Config().route("entry", "unsafe", "pasok", 0, "5000ms");
    if (!lab.replace("00000000", config.text("00000001"), 15_000)) {
      return 2;
    }
    for (Lab.Machine machine : lab.sidecars) {
      if (!lab.awaitReady(machine, 15_000)) {
        return 2;
      }
    }
    Thread.sleep(6_000);
    Load load = lab.own(new Load(lab, edge, "entry", "POST", 5_000, "x".repeat(1_200))).start(40);
    Thread.sleep(2_000);
    if (arrivals.keySet().stream().noneMatch(key -> key.startsWith(first.id))) {
      return 2;
    }

    first.beating = false;
    String beat = first.beat();
    lab.log("beat", "sequence " + first.sequence + " is sent" + (lab.trouble ? ", and late" : ""));
    if (!lab.trouble) {
      first.sendBeat(beat);
    }
    Thread.sleep(100);
    int answer = first.deregister();
    long acknowledgedAt = lab.millis();
    lab.log("deregister", "answered " + answer);
    if (answer != 200) {
      return 2;
    }
    long restartedAt = acknowledgedAt;
    if (lab.trouble) {
      Thread.sleep(100);
      lab.signal(leaving, "KILL");
      Thread.sleep(400);
      lab.start(leaving);
      restartedAt = lab.millis();
      lab.awaitReady(leaving, 5_000);
      Thread.sleep(Math.max(0, acknowledgedAt + 2_800 - lab.millis()));
      lab.log("beat", "the late heartbeat is answered " + first.sendBeat(beat));
    }
    Thread.sleep(Math.max(0, acknowledgedAt + 9_000 - lab.millis()));
    lab.log("exit", first.id);
    first.close();
    Thread.sleep(1_500);
    load.close();
    Thread.sleep(1_500);

    // The machine beside the target is in touch again `contact` after its start.
    long from = Math.max(acknowledgedAt + DRAIN_MILLIS, restartedAt + CONTACT_MILLIS);
    List<String> late =
        arrivals.entrySet().stream()
            .filter(entry -> entry.getKey().startsWith(first.id) && entry.getValue() > from)
            .map(entry -> entry.getKey().split(" ")[1])
            .toList();
    long lost = late.stream().filter(id -> !load.ends.getOrDefault(id, "").startsWith("200")).count();
    return lab.verdict(
        !late.isEmpty(),
        late.size() + " requests reached the target later than " + (from - acknowledgedAt)
            + " ms after the acknowledgement; " + lost + " of them had no success");
  }
}
