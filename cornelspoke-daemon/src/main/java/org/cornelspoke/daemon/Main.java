package org.cornelspoke.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import org.cornelspoke.daemon.runtime.DaemonFactory;
import org.cornelspoke.daemon.runtime.DefaultDaemonFactory;
import org.cornelspoke.daemon.settings.DaemonSettings;
import org.cornelspoke.daemon.settings.SettingsException;
import org.cornelspoke.daemon.settings.SettingsReader;

/** Command-line entry point of the daemon. */
public final class Main {

  static final int EXIT_OK = 0;
  static final int EXIT_FAILED = 1;
  static final int EXIT_USAGE = 2;
  static final int EXIT_RESTART = 3;

  private final DaemonFactory factory;
  private final PrintStream out;
  private final PrintStream err;

  Main(DaemonFactory factory, PrintStream out, PrintStream err) {
    this.factory = factory;
    this.out = out;
    this.err = err;
  }

  /** Runs the daemon until it is stopped and exits with its exit code. */
  public static void main(String[] args) {
    int exitCode = new Main(new DefaultDaemonFactory(), System.out, System.err).run(args);
    System.exit(exitCode);
  }

  /** Executes the command line and returns the exit code. */
  int run(String... args) {
    Options options = new Options();
    JCommander commander =
        JCommander.newBuilder().programName("cornelspoked").addObject(options).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      err.println("cornelspoked: " + e.getMessage());
      return EXIT_USAGE;
    }
    if (options.help) {
      StringBuilder text = new StringBuilder();
      commander.getUsageFormatter().usage(text);
      out.print(text);
      return EXIT_OK;
    }
    if (options.version) {
      out.println("cornelspoked " + version());
      return EXIT_OK;
    }
    if (options.settings == null) {
      err.println("cornelspoked: --settings: missing; a file is required");
      return EXIT_USAGE;
    }
    return runWithSettings(options);
  }

  private int runWithSettings(Options options) {
    DaemonSettings settings;
    try {
      settings = new SettingsReader().read(Path.of(options.settings));
    } catch (SettingsException e) {
      err.println("cornelspoked: " + e.getMessage());
      return EXIT_USAGE;
    } catch (InvalidPathException e) {
      err.println("cornelspoked: --settings: must be a path: " + e.getReason());
      return EXIT_USAGE;
    }
    if (options.check) {
      out.println(options.settings + ": ok");
      return EXIT_OK;
    }
    return serve(settings);
  }

  /**
   * Runs a daemon until it stops and returns the exit code.
   *
   * @param factory creates the daemon
   * @param err receives the reason if the daemon fails to start
   */
  public static int serve(DaemonSettings settings, DaemonFactory factory, PrintStream err) {
    return new Main(factory, System.out, err).serve(settings);
  }

  private int serve(DaemonSettings settings) {
    Logging.configure(settings.log());
    DaemonFactory.Daemon daemon;
    StopHook stopHook = new StopHook();
    // Registered first, because a daemon accepts requests before its start is complete.
    Runtime.getRuntime().addShutdownHook(new Thread(stopHook, "shutdown"));
    try {
      daemon = factory.create(settings);
      daemon.start();
    } catch (Exception e) {
      stopHook.onStartFailed();
      err.println("cornelspoked: start failed: " + e.getMessage());
      return EXIT_FAILED;
    }
    stopHook.onStarted(daemon);
    try {
      daemon.awaitStop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return daemon.hasFailed() ? EXIT_RESTART : EXIT_OK;
  }

  private static String version() {
    String version = Main.class.getPackage().getImplementationVersion();
    return version == null ? "development" : version;
  }

  private static final class Options {

    @Parameter(names = "--settings", description = "Settings file (JSON with comments)")
    private String settings;

    @Parameter(names = "--check", description = "Check the settings file and exit")
    private boolean check;

    @Parameter(names = "--help", description = "Print this text", help = true)
    private boolean help;

    @Parameter(names = "--version", description = "Print the version", help = true)
    private boolean version;
  }
}
