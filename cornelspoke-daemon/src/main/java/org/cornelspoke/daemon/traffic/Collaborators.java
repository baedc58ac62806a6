package org.cornelspoke.daemon.traffic;

import io.activej.eventloop.Eventloop;
import java.util.function.Supplier;
import org.cornelspoke.coordination.admission.RootRequestThrottle;
import org.cornelspoke.coordination.dedup.ClaimClient;
import org.cornelspoke.coordination.dissemination.DepartureRecorder;
import org.cornelspoke.coordination.dissemination.FleetViewSource;
import org.cornelspoke.coordination.dissemination.TargetPublisher;
import org.cornelspoke.coordination.quarantine.CrashReporter;
import org.cornelspoke.coordination.quarantine.QuarantineSource;
import org.cornelspoke.coordination.quota.RateLimiter;
import org.cornelspoke.coordination.retry.RetryBudgets;
import org.cornelspoke.coordination.retry.RetryThrottles;
import org.cornelspoke.coordination.routing.TargetSelector;
import org.cornelspoke.transport.http.ConnectionLimits;
import org.cornelspoke.transport.loop.ArrivalClock;

/**
 * The components that the traffic path depends on. Those that are not thread-safe are confined to
 * the reactor thread.
 */
record Collaborators(
    Eventloop reactor,
    TrafficSettings settings,
    FleetViewSource views,
    RateLimiter rateLimiter,
    ClaimClient claims,
    GateFactory gates,
    TargetSelector selector,
    RetryBudgets ledger,
    RetryThrottles throttles,
    TargetPublisher publisher,
    HttpDialect dialect,
    Supplier<RootRequestThrottle> rootThrottles,
    LocalApiFactory localApi,
    TrafficMetrics metrics,
    Timers timers,
    ArrivalClock arrivalClock,
    ConnectionLimits connectionLimits,
    QuarantineSource quarantine,
    CrashReporter crashReporter,
    DepartureRecorder departures) {}
