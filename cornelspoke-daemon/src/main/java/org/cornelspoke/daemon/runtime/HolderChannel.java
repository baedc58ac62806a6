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
 * Connects the rate shares, which belong to the traffic thread, to the relay connection, which
 * belongs to the control thread. Messages pass between the threads in order.
 */
final class HolderChannel implements ShareListener {

  /** Much shorter than the maximum wait for a token; each tick wakes up the traffic thread. */
  private static final long TICK_INTERVAL_MILLIS = 50;

  /** Minimum interval between batches to the relay; a tenth of the maximum wait for a token. */
  private static final long MIN_BATCH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final Eventloop traffic;
  private final Eventloop control;
  private final DaemonId daemon;
  private final ShareHolder holder;
  private final BatchSender batchSender;
  private Consumer<byte[]> relaySender;
  private long lastSessionId;

  HolderChannel(
      Eventloop traffic,
      Eventloop control,
      DaemonId daemon,
      ShareTimes times,
      ScheduledReturns returns) {
    this.traffic = traffic;
    this.control = control;
    this.daemon = daemon;
    this.batchSender = new BatchSender(traffic, MIN_BATCH_INTERVAL_NANOS, this::send);
    this.holder = returns.createHolder(times, batchSender::add);
  }

  ShareHolder holder() {
    return holder;
  }

  /**
   * Sets the consumer that sends a message over the current relay connection. It runs on the
   * control thread. Must be called before the first connection is established, which may happen
   * before {@link #start}.
   */
  void setRelaySender(Consumer<byte[]> newRelaySender) {
    this.relaySender = newRelaySender;
  }

  void start() {
    traffic.execute(this::tick);
  }

  @Override
  public void onAttached() {
    traffic.execute(
        () -> {
          long wallClockMicros = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
          lastSessionId = Math.max(lastSessionId + 1, wallClockMicros);
          batchSender.clear();
          holder.onConnected(lastSessionId, System.nanoTime());
          batchSender.add(new HolderReady(daemon.value()));
        });
  }

  @Override
  public void onDetached() {
    traffic.execute(
        () -> {
          batchSender.clear();
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
    long nowNanos = System.nanoTime();
    batchSender.onReply();
    for (ShareFrame frame : batch) {
      holder.onMessage((ShareMessage) frame, nowNanos);
    }
  }

  private void send(List<ShareFrame> batch) {
    byte[] encoded = ShareMessageCodec.encode(batch);
    // A batch is dropped if the connection is lost; the next session reports the held shares.
    control.execute(() -> relaySender.accept(encoded));
  }

  private void tick() {
    // Schedule the next tick first: without ticks, waiting requests would never be answered.
    traffic.delayBackground(TICK_INTERVAL_MILLIS, this::tick);
    holder.onTick(System.nanoTime());
  }
}
