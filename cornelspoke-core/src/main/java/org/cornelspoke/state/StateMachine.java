package org.cornelspoke.state;

/**
 * State that a replicated log drives. Two instances that apply the same commands in the same order
 * hold the same state and return the same results, so an implementation reads no clock and draws no
 * random number.
 *
 * <p>Not safe for use by several threads; the control thread owns it.
 */
public interface StateMachine {

  /**
   * Applies one committed command.
   *
   * @param index position of the command in the log; grows by one or more from call to call
   * @param command the encoded command
   * @return the encoded result for the proposer
   */
  byte[] apply(long index, byte[] command);

  /** Returns the whole state, encoded. */
  byte[] snapshot();

  /**
   * Replaces the whole state.
   *
   * @param snapshot what {@link #snapshot} returned on this or another replica
   * @throws IllegalArgumentException if the bytes are not a snapshot
   */
  void restore(byte[] snapshot);
}
