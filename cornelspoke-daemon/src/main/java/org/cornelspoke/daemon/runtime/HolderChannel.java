package org.cornelspoke.daemon.runtime;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelspoke.coordination.quota.ShareFrame;
import org.cornelspoke.coordination.quota.ShareFrame.HolderReady;
import org.cornelspoke.coordination.quota.ShareHolder;
import org.cornelspoke.coordination.quota.ShareMessage;
import org.cornelspoke.coordination.quota.ShareTimes;
import org.cornelspoke.daemon.controlclient.ShareListener;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.protocol.quota.ShareMessageCodec;

/**
 * Connects the rate shares of the traffic thread with the relay connection of the control thread.
 * Messages cross between the threads in order.
 */
final class HolderChannel implements ShareListener {

  /** A fraction of the wait for a token; each tick costs a wake-up of the traffic thread. */
  private static final long TICK_MILLIS = 50;

  private final Eventloop traffic;
  private final Eventloop control;
  private final DaemonId daemon;
  private final ShareHolder holder;
  private Consumer<byte[]> relay;
  private long lastSession;

  HolderChannel(Eventloop traffic, Eventloop control, DaemonId daemon, ShareTimes times) {
    this.traffic = traffic;
    this.control = control;
    this.daemon = daemon;
    this.holder = new ShareHolder(times, this::send);
  }

  ShareHolder holder() {
    return holder;
  }

  /**
   * Sets what sends a message over the present connection, on the control thread. Must be called
   * before the first connection, which may be there before {@link #start}.
   */
  void sendTo(Consumer<byte[]> newRelay) {
    this.relay = newRelay;
  }

  void start() {
    traffic.execute(this::tick);
  }

  @Override
  public void onAttached() {
    traffic.execute(
        () -> {
          long micros = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
          lastSession = Math.max(lastSession + 1, micros);
          holder.onConnected(lastSession, System.nanoTime());
          send(new HolderReady(daemon.value()));
        });
  }

  @Override
  public void onDetached() {
    traffic.execute(() -> holder.onDisconnected(System.nanoTime()));
  }

  @Override
  public void onMessage(byte[] message) {
    ShareFrame decoded;
    try {
      decoded = ShareMessageCodec.decode(message);
    } catch (IOException e) {
      throw new IllegalArgumentException("malformed share message", e);
    }
    if (!(decoded instanceof ShareMessage shareMessage)) {
      throw new IllegalArgumentException("a relay must not send " + decoded);
    }
    traffic.execute(() -> holder.onMessage(shareMessage, System.nanoTime()));
  }

  private void send(ShareFrame message) {
    byte[] encoded = ShareMessageCodec.encode(message);
    // A message that meets a lost connection is dropped; the next session states what is held.
    control.execute(() -> relay.accept(encoded));
  }

  private void tick() {
    // Without further ticks, requests that wait for a token would never be answered.
    traffic.delayBackground(TICK_MILLIS, this::tick);
    holder.onTick(System.nanoTime());
  }
}
