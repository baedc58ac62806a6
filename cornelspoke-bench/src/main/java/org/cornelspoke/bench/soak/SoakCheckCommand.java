package org.cornelspoke.bench.soak;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.cornelspoke.bench.BenchCommand;

/** Checks the logs of a soak run; the exit code is 1 if a check is violated. */
@Parameters(commandDescription = "Check the logs that a soak run left in its run folder")
public final class SoakCheckCommand implements BenchCommand {

  @Parameter(names = "--run-folder", required = true, description = "folder of the run")
  private String runFolder;

  @Parameter(
      names = "--withdraw-bound-millis",
      description = "time after which a withdrawn key must not work")
  private long withdrawBoundMillis = 5_000;

  @Override
  public String name() {
    return "soak-check";
  }

  @Override
  public int run() throws IOException {
    SoakLogs logs = SoakLogs.read(Path.of(runFolder));
    List<CheckResult> results = new SoakChecker(logs, withdrawBoundMillis).checkAll();
    results.forEach(result -> System.out.print(result.text()));
    return results.stream().anyMatch(CheckResult::isViolated) ? 1 : 0;
  }
}
