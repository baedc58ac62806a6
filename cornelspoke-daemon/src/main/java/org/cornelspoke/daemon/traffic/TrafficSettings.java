package org.cornelspoke.daemon.traffic;

import org.cornelspoke.coordination.admission.ChainAdmissionSettings;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.util.Assert;

/**
 * Settings of the traffic path.
 *
 * @param edgeAddress address for callers and for nested calls of the upstream
 * @param linkAddress address for links from other daemons
 * @param localAddress address of the announcement API
 * @param shareWaitMillis maximum wait for a rate token
 * @param maxBodyBytes maximum size of a request or response body
 * @param drainMillis time during which a stopping daemon still accepts requests, so that callers
 *     and other daemons learn of the stop from responses rather than from closed connections
 * @param stopTimeoutMillis maximum duration of a graceful stop; requests still running then are
 *     aborted
 * @param chainAdmission admission of call chains by the capacity of the called services
 */
public record TrafficSettings(
    DaemonId daemonId,
    DataCentreId dataCentre,
    Endpoint edgeAddress,
    Endpoint linkAddress,
    Endpoint localAddress,
    StaleKeys staleKeys,
    long shareWaitMillis,
    int maxBodyBytes,
    long drainMillis,
    long stopTimeoutMillis,
    ChainAdmissionSettings chainAdmission) {

  /** Validates the settings. */
  public TrafficSettings {
    Assert.notNull(daemonId, "daemonId");
    Assert.notNull(dataCentre, "dataCentre");
    Assert.notNull(edgeAddress, "edgeAddress");
    Assert.notNull(linkAddress, "linkAddress");
    Assert.notNull(localAddress, "localAddress");
    Assert.notNull(staleKeys, "staleKeys");
    Assert.isTrue(shareWaitMillis >= 0, "shareWaitMillis must be 0 or more");
    Assert.isTrue(
        maxBodyBytes > 0 && maxBodyBytes <= 64 << 20,
        "maxBodyBytes must be between 1 and 67108864");
    Assert.notNull(chainAdmission, "chainAdmission");
    Assert.isTrue(drainMillis >= 0, "drainMillis must be 0 or more");
    Assert.isTrue(stopTimeoutMillis >= drainMillis, "stopTimeoutMillis must be >= drainMillis");
  }

  /** Returns a builder with the default values. */
  public static Builder builder(DaemonId daemonId, DataCentreId dataCentre) {
    return new Builder(daemonId, dataCentre);
  }

  /** Builds settings; addresses have no default. Not thread-safe. */
  public static final class Builder {

    private final DaemonId daemonId;
    private final DataCentreId dataCentre;
    private Endpoint edgeAddress;
    private Endpoint linkAddress;
    private Endpoint localAddress;
    private StaleKeys staleKeys = StaleKeys.REFUSE;
    private long shareWaitMillis = 50;
    private int maxBodyBytes = 8 << 20;
    private long drainMillis = 2_000;
    private long stopTimeoutMillis = 60_000;
    private ChainAdmissionSettings chainAdmission = ChainAdmissionSettings.OFF;

    private Builder(DaemonId daemonId, DataCentreId dataCentre) {
      this.daemonId = daemonId;
      this.dataCentre = dataCentre;
    }

    /** Sets the addresses. */
    public Builder withAddresses(Endpoint edge, Endpoint link, Endpoint local) {
      this.edgeAddress = edge;
      this.linkAddress = link;
      this.localAddress = local;
      return this;
    }

    /** Sets how client keys are handled while the view is stale. */
    public Builder withStaleKeys(StaleKeys newStaleKeys) {
      this.staleKeys = newStaleKeys;
      return this;
    }

    /** Sets the maximum wait for a rate token. */
    public Builder withShareWaitMillis(long millis) {
      this.shareWaitMillis = millis;
      return this;
    }

    /** Sets the maximum size of a request or response body. */
    public Builder withMaxBodyBytes(int bytes) {
      this.maxBodyBytes = bytes;
      return this;
    }

    /** Sets the drain time and the timeout of a graceful stop. */
    public Builder withStopTimes(long newDrainMillis, long newStopTimeoutMillis) {
      this.drainMillis = newDrainMillis;
      this.stopTimeoutMillis = newStopTimeoutMillis;
      return this;
    }

    /** Sets the admission of call chains. */
    public Builder withChainAdmission(ChainAdmissionSettings newChainAdmission) {
      this.chainAdmission = newChainAdmission;
      return this;
    }

    /** Returns the settings. */
    public TrafficSettings build() {
      return new TrafficSettings(
          daemonId,
          dataCentre,
          edgeAddress,
          linkAddress,
          localAddress,
          staleKeys,
          shareWaitMillis,
          maxBodyBytes,
          drainMillis,
          stopTimeoutMillis,
          chainAdmission);
    }
  }
}
