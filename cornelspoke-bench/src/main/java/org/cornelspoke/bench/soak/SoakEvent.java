package org.cornelspoke.bench.soak;

import java.util.Locale;

/**
 * Something that the soak script does.
 *
 * @param atMillis time since the start of the load
 * @param argument name of the process, key id, preset, or {@code ACCOUNT=WEIGHT}
 */
record SoakEvent(long atMillis, Action action, String argument) {

  /** What is done. */
  enum Action {
    /** SIGKILL. */
    KILL,
    /** SIGTERM, the planned stop. */
    TERM,
    /** Starts a process that was killed or stopped. */
    START,
    /** SIGSTOP. */
    PAUSE,
    /** SIGCONT. */
    RESUME,
    /** Withdraws a client key. */
    WITHDRAW,
    /** Puts a preset in force. */
    PRESET,
    /** Changes the weight of an account. */
    WEIGHT
  }

  String line() {
    return atMillis + "\t" + action.name().toLowerCase(Locale.ROOT) + "\t" + argument;
  }
}
