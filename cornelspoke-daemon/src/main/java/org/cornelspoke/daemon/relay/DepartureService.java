package org.cornelspoke.daemon.relay;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cornelspoke.coordination.dissemination.ControlMessage;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.state.codec.CommandCodec;
import org.cornelspoke.state.codec.ControlCommand;
import org.cornelspoke.state.registry.Departure;
import org.cornelspoke.state.registry.RegistryChange;

/** Proposes the departures that attached daemons report to the replicated log. */
final class DepartureService {

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long PROPOSAL_TIMEOUT_MILLIS = 10_000;

  private final RetryingLog log;
  private final LongSupplier nanoClock;
  private final LongSupplier wallClockMillis;

  DepartureService(RetryingLog log, LongSupplier nanoClock, LongSupplier wallClockMillis) {
    this.log = log;
    this.nanoClock = nanoClock;
    this.wallClockMillis = wallClockMillis;
  }

  /** Sends no reply on failure; the daemon then sends its message again. */
  void record(
      DaemonId daemon, ControlMessage.ProcessDeparted message, Consumer<ControlMessage> reply) {
    Departure departure = new Departure(daemon, message.process(), wallClockMillis.getAsLong());
    ControlCommand command =
        new ControlCommand.RegistryBatch(List.of(new RegistryChange.Depart(departure)));
    log.propose(
            CommandCodec.encode(command),
            nanoClock.getAsLong() + PROPOSAL_TIMEOUT_MILLIS * NANOS_PER_MILLI)
        .whenResult(
            result -> reply.accept(new ControlMessage.ClaimEndReply(message.correlationId())));
  }
}
