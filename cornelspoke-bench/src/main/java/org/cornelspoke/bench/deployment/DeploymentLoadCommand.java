package org.cornelspoke.bench.deployment;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import org.cornelspoke.bench.BenchCommand;
import org.cornelspoke.bench.load.LoadPlan;

/** Writes {@code load-plan.json} of a deployment whose keys are known. */
@Parameters(commandDescription = "Write the load plan of a deployment into its run folder")
public final class DeploymentLoadCommand implements BenchCommand {

  @Parameter(names = "--deployment", required = true, description = "cooperative or softwarehouse")
  private String deployment;

  @Parameter(names = "--run-folder", required = true, description = "folder of the deployment")
  private String runFolder;

  @Parameter(names = "--run-id", description = "text in the ids of the requests")
  private String runId = "r1";

  @Parameter(names = "--seed", description = "seed of the arrivals")
  private long seed = 1;

  @Parameter(names = "--seconds", description = "length of the load")
  private long seconds = 20;

  @Parameter(names = "--scale", description = "factor on the offered load")
  private double scale = 1;

  @Override
  public String name() {
    return "deployment-load";
  }

  @Override
  public int run() throws IOException {
    Path folder = Path.of(runFolder);
    LoadPlan plan =
        new DeploymentLoad(DeploymentSpec.named(deployment), folder)
            .plan(runId, seed, seconds * 1000, scale);
    new ObjectMapper()
        .writerWithDefaultPrettyPrinter()
        .writeValue(folder.resolve("load-plan.json").toFile(), plan);
    return 0;
  }
}
