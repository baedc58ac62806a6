package org.cornelspoke.ctl;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Entry point of {@code cornelspokectl}. */
public final class Main {

  private Main() {}

  /** Runs one command and exits with its exit code. */
  public static void main(String[] args) {
    System.setProperty("logback.configurationFile", "org/cornelspoke/ctl/logback.xml");
    PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
    PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
    System.exit(new CommandLine(System.getenv(), out, err).run(args));
  }
}
