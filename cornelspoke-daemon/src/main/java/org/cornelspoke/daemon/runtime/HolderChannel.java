package org.cornelspoke.daemon.runtime;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.util.List;
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

  /** Shortest time between two batches to the relay; a tenth of the wait for a token. */
  private static final long BATCH_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final Eventloop traffic;
  private final Eventloop control;
  private final DaemonId daemon;
  private final ShareHolder holder;
  private final BatchSender outbox;
  private Consumer<byte[]> relay;
  private long lastSession;

  HolderChannel(Eventloop traffic, Eventloop control, DaemonId daemon, ShareTimes times) {
    this.traffic = traffic;
    this.control = control;
    this.daemon = daemon;
    this.outbox = new BatchSender(traffic, BATCH_NANOS, this::send);
    this.holder = new ShareHolder(times, outbox::add);
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
          outbox.clear();
          holder.onConnected(lastSession, System.nanoTime());
          outbox.add(new HolderReady(daemon.value()));
        });
  }

  @Override
  public void onDetached() {
    traffic.execute(
        () -> {
          outbox.clear();
          holder.onDisconnected(System.nanoTime());
        });
  }

  @Override
  public void onMessage(byte[] message) {
    List<ShareFrame> decoded;
    try {
      decoded = ShareMessageCodec.decode(message);
    } catch (IOException e) {
      throw new IllegalArgumentException("malformed share message", e);
    }
    for (ShareFrame frame : decoded) {
      if (!(frame instanceof ShareMessage)) {
        throw new IllegalArgumentException("a relay must not send " + frame);
      }
    }
    traffic.execute(() -> receive(decoded));
  }

  private void receive(List<ShareFrame> batch) {
    long now = System.nanoTime();
    outbox.onAnswer();
    for (ShareFrame frame : batch) {
      holder.onMessage((ShareMessage) frame, now);
    }
  }

  private void send(List<ShareFrame> batch) {
    byte[] encoded = ShareMessageCodec.encode(batch);
    // A batch that meets a lost connection is dropped; the next session states what is held.
    control.execute(() -> relay.accept(encoded));
  }

  private void tick() {
    // Without further ticks, requests that wait for a token would never be answered.
    traffic.delayBackground(TICK_MILLIS, this::tick);
    holder.onTick(System.nanoTime());
  }
}
