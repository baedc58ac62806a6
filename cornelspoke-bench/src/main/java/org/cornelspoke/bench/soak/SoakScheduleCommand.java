package org.cornelspoke.bench.soak;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.cornelspoke.bench.BenchCommand;

/** Writes the faults and changes of a soak run, one line each, for the script that does them. */
@Parameters(commandDescription = "Write the faults of a soak run (see bin/bench soak)")
public final class SoakScheduleCommand implements BenchCommand {

  @Parameter(names = "--run-folder", required = true, description = "folder of the deployment")
  private String runFolder;

  @Parameter(names = "--seed", required = true, description = "seed of the faults")
  private long seed;

  @Parameter(names = "--seconds", required = true, description = "length of the load")
  private long seconds;

  @Override
  public String name() {
    return "soak-schedule";
  }

  @Override
  public int run() throws IOException {
    Path folder = Path.of(runFolder);
    Map<String, List<String>> processes = new HashMap<>();
    for (String line : Files.readAllLines(folder.resolve("processes.tsv"))) {
      String[] fields = line.split("\t", -1);
      processes.computeIfAbsent(fields[0], role -> new ArrayList<>()).add(fields[1]);
    }
    List<String> accounts = new ArrayList<>();
    List<String> keys = new ArrayList<>();
    for (String line : Files.readAllLines(folder.resolve("ctl-keys"))) {
      String[] fields = line.split(" ", -1);
      // Each account keeps its first key, so that it sends load until the end.
      if (fields[1].endsWith("-1")) {
        accounts.add(fields[0]);
      } else {
        keys.add(fields[1]);
      }
    }
    List<SoakEvent> events = new SoakSchedule(seed, processes, accounts, keys).draw(seconds * 1000);
    Files.writeString(
        folder.resolve("schedule.tsv"),
        events.stream().map(event -> event.line() + "\n").collect(Collectors.joining()));
    System.out.println(events.size() + " faults and changes from seed " + seed);
    return 0;
  }
}
