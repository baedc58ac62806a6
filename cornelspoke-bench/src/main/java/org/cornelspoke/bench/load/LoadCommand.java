package org.cornelspoke.bench.load;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.cornelspoke.bench.BenchCommand;

/**
 * Runs the load of a plan, prints the results as a table and can write them as JSON. The exit code
 * is 1 if no request was completed or a response was wrong.
 */
@Parameters(commandDescription = "Send the load of a plan and report goodput, refusals and latency")
public final class LoadCommand implements BenchCommand {

  @Parameter(names = "--plan", required = true, description = "JSON file with the load plan")
  private String planFile;

  @Parameter(names = "--json", description = "file for the results as JSON")
  private String jsonFile;

  @Parameter(names = "--log", description = "file to which every attempt is appended")
  private String logFile;

  @Parameter(names = "--seed", description = "seed that replaces the one of the plan")
  private Long seed;

  @Parameter(names = "--duration-ms", description = "duration that replaces the one of the plan")
  private Long durationMillis;

  @Override
  public String name() {
    return "load";
  }

  @Override
  public int run() throws IOException {
    ObjectMapper mapper =
        JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
    LoadPlan plan = mapper.readValue(Path.of(planFile).toFile(), LoadPlan.class);
    LoadPlan effectivePlan =
        new LoadPlan(
            plan.runId(),
            seed == null ? plan.seed() : seed,
            durationMillis == null ? plan.durationMillis() : durationMillis,
            plan.warmupMillis(),
            plan.edges(),
            plan.accounts(),
            plan.routes(),
            plan.retries(),
            plan.phases());
    try (OutputStream log = openLog()) {
      LoadRun run =
          new LoadRun(
              effectivePlan, attempt -> append(mapper, log, attempt), false, System.out::println);
      LoadRun.Result result = run.run();
      System.out.print(result.table());
      if (jsonFile != null) {
        mapper
            .writerWithDefaultPrettyPrinter()
            .writeValue(Path.of(jsonFile).toFile(), result.statistics());
      }
      return result.completed() > 0 && result.wrongResponses() == 0 ? 0 : 1;
    }
  }

  private OutputStream openLog() throws IOException {
    if (logFile == null) {
      return OutputStream.nullOutputStream();
    }
    return new BufferedOutputStream(
        Files.newOutputStream(
            Path.of(logFile), StandardOpenOption.CREATE, StandardOpenOption.APPEND));
  }

  private static void append(ObjectMapper mapper, OutputStream log, AttemptRecord attempt) {
    try {
      log.write(mapper.writeValueAsBytes(attempt));
      log.write('\n');
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
