package org.cornelspoke.state;

/**
 * Deterministic state machine that is driven by a replicated log. Replicas that apply the same
 * commands in the same order must hold equal state and return equal results; implementations
 * therefore must not read a clock or use random numbers.
 *
 * <p>Not thread-safe; confined to the control thread.
 */
public interface StateMachine {

  /**
   * Applies one committed command.
   *
   * @param index log index of the command; strictly increasing from call to call, possibly with
   *     gaps
   * @param command the encoded command
   * @return the encoded result for the proposer
   */
  byte[] apply(long index, byte[] command);

  /** Returns the encoded state. */
  byte[] snapshot();

  /**
   * Replaces the state by that of a snapshot.
   *
   * @param snapshot bytes returned by {@link #snapshot} on this or another replica
   * @throws IllegalArgumentException if the bytes are not a snapshot
   */
  void restore(byte[] snapshot);
}
