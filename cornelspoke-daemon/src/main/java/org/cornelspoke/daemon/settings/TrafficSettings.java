package org.cornelspoke.daemon.settings;

import java.util.List;
import org.cornelspoke.coordination.admission.ChainAdmissionSettings;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.util.Assert;

/**
 * Settings of a traffic daemon.
 *
 * @param edgeAddress address for requests of callers and nested calls of the upstream
 * @param linkAddress address on which links from other daemons are accepted
 * @param localAddress loopback address of the API with which the upstream registers and drains
 * @param controlEndpoints relay addresses of control daemons
 * @param controlEndpointOrder order in which the relays are preferred
 * @param freshnessBoundMillis maximum time without proof that the configuration is current
 * @param staleKeys how requests with a client key are treated after that time
 * @param shareWaitMillis maximum time that a request waits for spare rate capacity
 * @param maxBodyBytes maximum size of a request body that the edge accepts
 * @param learnedCapacity settings of the learned capacity of upstreams
 * @param chainAdmission admission of call chains by the capacity of the called services
 * @param returns when callers that were refused for their rate return
 */
public record TrafficSettings(
    DaemonId daemonId,
    DataCentreId dataCentre,
    Endpoint edgeAddress,
    Endpoint linkAddress,
    Endpoint localAddress,
    Endpoint adminAddress,
    List<Endpoint> controlEndpoints,
    ControlEndpointOrder controlEndpointOrder,
    long freshnessBoundMillis,
    StaleKeys staleKeys,
    long shareWaitMillis,
    int maxBodyBytes,
    LearnedCapacitySettings learnedCapacity,
    ChainAdmissionSettings chainAdmission,
    ReturnSettings returns,
    LogSettings log)
    implements DaemonSettings {

  /** Makes an unmodifiable copy of the list. */
  public TrafficSettings {
    controlEndpoints = List.copyOf(controlEndpoints);
    Assert.notNull(controlEndpointOrder, "controlEndpointOrder");
    Assert.notNull(learnedCapacity, "learnedCapacity");
    Assert.notNull(chainAdmission, "chainAdmission");
    Assert.notNull(returns, "returns");
  }

  /** Creates settings without the optional blocks. */
  public TrafficSettings(
      DaemonId daemonId,
      DataCentreId dataCentre,
      Endpoint edgeAddress,
      Endpoint linkAddress,
      Endpoint localAddress,
      Endpoint adminAddress,
      List<Endpoint> controlEndpoints,
      ControlEndpointOrder controlEndpointOrder,
      long freshnessBoundMillis,
      StaleKeys staleKeys,
      long shareWaitMillis,
      int maxBodyBytes,
      LogSettings log) {
    this(
        daemonId,
        dataCentre,
        edgeAddress,
        linkAddress,
        localAddress,
        adminAddress,
        controlEndpoints,
        controlEndpointOrder,
        freshnessBoundMillis,
        staleKeys,
        shareWaitMillis,
        maxBodyBytes,
        LearnedCapacitySettings.OFF,
        ChainAdmissionSettings.OFF,
        ReturnSettings.DEFAULT,
        log);
  }
}
