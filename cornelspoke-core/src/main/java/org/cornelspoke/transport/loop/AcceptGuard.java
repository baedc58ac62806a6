package org.cornelspoke.transport.loop;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * Pauses all listeners of an event loop while no connection can be accepted, because the process
 * has no file descriptors left. A listener with waiting connections is always ready, so that the
 * loop would otherwise spin on failing accepts and hold up its other work.
 *
 * <p>Confined to the thread of the loop.
 */
final class AcceptGuard {

  /** Short enough that callers whose connections wait are accepted before they give up. */
  private static final long PAUSE_MILLIS = 50;

  private static final System.Logger LOGGER = System.getLogger(AcceptGuard.class.getName());

  private final String name;
  private final Counter pauses;
  private final List<SelectionKey> pausedKeys = new ArrayList<>();
  private boolean exhausted;

  AcceptGuard(String name, MetricRegistry metrics) {
    this.name = name;
    this.pauses = metrics.counter("eventloop." + name + ".accept-pauses");
  }

  /** Called after listeners were ready in an iteration of the loop. */
  void onListenersReady(Eventloop reactor) {
    try {
      SocketChannel.open().close();
      if (exhausted) {
        exhausted = false;
        LOGGER.log(Level.INFO, "event=accepting-again loop=" + name);
      }
    } catch (IOException e) {
      pause(reactor, e);
    }
  }

  private void pause(Eventloop reactor, IOException cause) {
    Selector selector = reactor.getSelector();
    pauses.inc();
    if (!exhausted) {
      exhausted = true;
      LOGGER.log(
          Level.WARNING,
          "event=accepting-paused loop="
              + name
              + " channels="
              + selector.keys().size()
              + " cause="
              + cause.getMessage());
    }
    for (SelectionKey key : selector.keys()) {
      if (key.isValid()
          && key.channel() instanceof ServerSocketChannel
          && key.interestOps() == SelectionKey.OP_ACCEPT) {
        key.interestOps(0);
        pausedKeys.add(key);
      }
    }
    reactor.delayBackground(PAUSE_MILLIS, this::resume);
  }

  private void resume() {
    for (SelectionKey key : pausedKeys) {
      if (key.isValid()) {
        key.interestOps(SelectionKey.OP_ACCEPT);
      }
    }
    pausedKeys.clear();
  }
}
