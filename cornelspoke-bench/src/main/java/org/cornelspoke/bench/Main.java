package org.cornelspoke.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.List;
import org.cornelspoke.bench.deployment.DeploymentCommand;
import org.cornelspoke.bench.deployment.DeploymentLoadCommand;
import org.cornelspoke.bench.load.LoadCommand;
import org.cornelspoke.bench.overhead.OverheadCommand;
import org.cornelspoke.bench.scenario.ScenariosCommand;
import org.cornelspoke.bench.slopes.SlopesCommand;
import org.cornelspoke.bench.soak.SoakCheckCommand;
import org.cornelspoke.bench.soak.SoakScheduleCommand;
import org.cornelspoke.bench.upstream.UpstreamCommand;

/** Entry point of the bench program: selects a command by its first argument. */
public final class Main {

  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  private Main() {}

  /** Returns every command. A new command is registered by one line here. */
  static List<BenchCommand> commands() {
    return List.of(
        new UpstreamCommand(), //
        new LoadCommand(),
        new DeploymentCommand(),
        new DeploymentLoadCommand(),
        new OverheadCommand(),
        new ScenariosCommand(),
        new SlopesCommand(),
        new SoakScheduleCommand(),
        new SoakCheckCommand());
  }

  /** Runs the command that the arguments select and exits with its code. */
  public static void main(String[] args) {
    System.exit(run(args));
  }

  static int run(String... args) {
    List<BenchCommand> commands = commands();
    JCommander parser = new JCommander();
    parser.setProgramName("bench");
    commands.forEach(command -> parser.addCommand(command.name(), command));
    try {
      parser.parse(args);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      return EXIT_USAGE;
    }
    for (BenchCommand command : commands) {
      if (command.name().equals(parser.getParsedCommand())) {
        return run(command);
      }
    }
    parser.usage();
    return EXIT_USAGE;
  }

  private static int run(BenchCommand command) {
    try {
      return command.run();
    } catch (IllegalArgumentException e) {
      System.err.println(e.getMessage());
      return EXIT_USAGE;
    } catch (Exception e) {
      System.err.println(command.name() + " failed: " + e);
      return EXIT_FAILURE;
    }
  }
}
