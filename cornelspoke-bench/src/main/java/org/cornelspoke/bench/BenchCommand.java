package org.cornelspoke.bench;

/** A command of the bench program. Its JCommander annotations describe its parameters. */
public interface BenchCommand {

  /** Returns the word that selects the command. */
  String name();

  /**
   * Runs the command.
   *
   * @return the exit code of the program
   * @throws Exception if the command fails; the program prints the message and exits with 1
   */
  int run() throws Exception;
}
