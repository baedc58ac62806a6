package org.cornelspoke.bench.deployment;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import org.cornelspoke.bench.BenchCommand;

/** Writes the files of a deployment. */
@Parameters(commandDescription = "Write settings and addresses of a deployment into a run folder")
public final class DeploymentCommand implements BenchCommand {

  @Parameter(
      names = "--deployment",
      required = true,
      description = "cooperative, softwarehouse or overhead")
  private String deployment;

  @Parameter(names = "--run-folder", required = true, description = "folder for the files")
  private String runFolder;

  @Parameter(names = "--keys-per-account", description = "client keys of each account")
  private int keysPerAccount = 1;

  @Override
  public String name() {
    return "deployment";
  }

  @Override
  public int run() throws IOException {
    // Ports are drawn unseeded, so that two deployments on one machine rarely draw the same.
    new DeploymentFiles(
            DeploymentSpec.named(deployment),
            Path.of(runFolder),
            keysPerAccount,
            new SecureRandom())
        .write();
    return 0;
  }
}
