package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Two machines of the core are replaced by empty ones in one planned step; after the successors have
 * caught up, two other machines lose their disks right after a configuration was acknowledged.
 */
public final class ReplacedCase {

  private static final long CATCH_UP_MILLIS = 4_000;
  private static final long RECOVERY_MILLIS = 15_000;
  private static final long CONTACT_MILLIS = 3_000;

  private static final Pattern MEMBER =
      Pattern.compile("Member\\[vmId=vm-([0-9-]+), identity=([0-9a-f]+), [^\\]]*voter=(\\w+)\\]");
  private static final Pattern LEADER =
      Pattern.compile("leader of term \\d+: Optional\\[vm-([0-9-]+)\\]");

  private ReplacedCase() {}

  /** Returns the voters in the order in which a machine last logged them, with their identities. */
  static Map<String, String> voters(Lab lab, Lab.Machine machine) {
    Map<String, String> voters = new LinkedHashMap<>();
    String[] lines = lab.readLog(machine).split("\n");
    for (int i = lines.length - 1; i >= 0 && voters.isEmpty(); i--) {
      if (lines[i].contains("\"members: [")) {
        Matcher matcher = MEMBER.matcher(lines[i]);
        while (matcher.find()) {
          if (matcher.group(3).equals("true")) {
            voters.put(matcher.group(1).replace('-', '.'), matcher.group(2));
          }
        }
      }
    }
    return voters;
  }

  static String leader(Lab lab, Lab.Machine machine) {
    Matcher matcher = LEADER.matcher(lab.readLog(machine));
    String leader = "";
    while (matcher.find()) {
      leader = matcher.group(1).replace('-', '.');
    }
    return leader;
  }

  static Lab.Machine machine(Lab lab, String ip) {
    return lab.cores.stream().filter(core -> core.ip.equals(ip)).findFirst().orElseThrow();
  }

  static boolean awaitVoters(Lab lab, Lab.Machine machine, int count, long timeoutMillis)
      throws InterruptedException {
    long end = lab.millis() + timeoutMillis;
    while (lab.millis() < end) {
      if (voters(lab, machine).size() == count) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  /** Runs the case and ends with its exit status. */
  public static void main(String[] args) throws Exception {
    int status = 2;
    try (Lab lab = new Lab(Path.of(args[0]))) {
      status = run(lab);
    }
    System.exit(status);
  }

  private static int run(Lab lab) throws Exception {
    for (int i = 0; i < 5; i++) {
      lab.addCore();
    }
    for (Lab.Machine core : lab.cores) {
      lab.start(core);
    }
    Config config = new Config().route("entry", "unsafe", "pasok", 0, "5000ms");
    if (!lab.replace("00000000", config.text("00000001"), 15_000)
        || !awaitVoters(lab, lab.cores.get(0), 5, 15_000)) {
      return 2;
    }
    Thread.sleep(CATCH_UP_MILLIS + 1_000);
    Lab.Machine leader = machine(lab, leader(lab, lab.cores.get(0)));
    lab.log("voters", voters(lab, leader) + " leader=" + leader.ip);
    List<Lab.Machine> others = new ArrayList<>(lab.cores);
    others.remove(leader);
    if (lab.trouble) {
      // ONE_BY_ONE=1 replaces the second machine only after the first; then nothing must be lost.
      boolean oneByOne = "1".equals(System.getenv("ONE_BY_ONE"));
      List<Lab.Machine> old = List.of(others.get(2), others.get(3));
      if (oneByOne) {
        replaceAll(lab, leader, old.subList(0, 1));
        replaceAll(lab, leader, old.subList(1, 2));
      } else {
        replaceAll(lab, leader, old);
      }
    }
    // Longer than the successors need to count as caught up.
    Thread.sleep(CATCH_UP_MILLIS + 4_000);
    lab.log("voters", voters(lab, leader).toString());
    if (!lab.replace("00000001", config.text("00000002"), 10_000)) {
      return 2;
    }
    if (lab.trouble) {
      lab.log("trouble", "lose their disks: " + leader.ip + ", " + others.get(0).ip);
      lab.signal(leader, "KILL");
      lab.signal(others.get(0), "KILL");
      lab.wipeDisk(leader);
      lab.wipeDisk(others.get(0));
      Thread.sleep(1_000);
      lab.start(leader);
      lab.start(others.get(0));
    }
    long backAt = lab.millis();
    long end = backAt + RECOVERY_MILLIS + 2 * CONTACT_MILLIS;
    boolean read = false;
    String newest = "nothing";
    while (!read && lab.millis() < end) {
      for (Lab.Machine core : lab.cores) {
        Http.Answer answer = core.isAlive() ? lab.order(core, "config.get", null, "") : null;
        if (answer != null && answer.status == 200) {
          newest = answer.text().substring(0, Math.min(24, answer.text().length()));
          read |= answer.text().contains("\"version\":\"00000002\"");
        }
      }
      Thread.sleep(300);
    }
    for (Lab.Machine core : lab.cores) {
      lab.log("voters", "as of " + core.ip + ": " + voters(lab, core).keySet());
    }
    return lab.verdict(
        !read,
        "read back " + newest + " within " + (lab.millis() - backAt)
            + " ms after all machines were back; acknowledged was 00000002");
  }

  /** Adds an empty machine for each of the old ones and then stops the old ones for good. */
  private static void replaceAll(Lab lab, Lab.Machine leader, List<Lab.Machine> old)
      throws Exception {
    int voters = voters(lab, leader).size();
    for (int i = 0; i < old.size(); i++) {
      Lab.Machine successor = lab.addCore();
      successor.bootstrap = false;
      lab.start(successor);
    }
    awaitVoters(lab, leader, voters + old.size(), 6_000);
    Thread.sleep(2_000);
    for (Lab.Machine machine : old) {
      lab.signal(machine, "TERM");
    }
    for (Lab.Machine machine : old) {
      machine.process.waitFor(6, TimeUnit.SECONDS);
      lab.log("trouble", "gone for good: " + machine.ip);
    }
    Thread.sleep(CATCH_UP_MILLIS);
  }
}
