package org.cornelspoke.daemon.runtime;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.cornelspoke.coordination.quota.ShareFrame.HolderReady;
import org.cornelspoke.coordination.quota.ShareTimes;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.protocol.quota.ShareMessageCodec;
import org.junit.jupiter.api.Test;

/**
 * Guards against a daemon that attaches to its relay during startup but never reports that it is
 * ready and holds no shares. A new leader then issued no rate shares for five seconds.
 */
class HolderChannelTest {

  private final Eventloop traffic = Eventloop.create();
  private final Eventloop control = Eventloop.create();
  private final List<byte[]> sent = new ArrayList<>();

  @Test
  void daemonAttachedBeforeStartReportsReady() throws Exception {
    DaemonId daemon = new DaemonId("10.1.0.7");
    HolderChannel channel =
        new HolderChannel(
            traffic,
            control,
            daemon,
            ShareTimes.DEFAULT,
            new ScheduledReturns(OptionalInt.empty(), new MetricRegistry()));
    channel.setRelaySender(sent::add);

    channel.onAttached();
    traffic.run();
    control.run();

    assertThat(sent).hasSize(1);
    assertThat(ShareMessageCodec.decode(sent.get(0)))
        .containsExactly(new HolderReady(daemon.value()));
  }
}
