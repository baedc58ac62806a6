package org.cornelspoke.bench;

/** Entry point of the program. */
public final class Main {

  private Main() {}

  /** Starts the program. */
  public static void main(String[] args) {
    System.out.println("not yet");
  }
}
