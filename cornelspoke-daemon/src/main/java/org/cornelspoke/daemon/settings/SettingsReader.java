package org.cornelspoke.daemon.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cornelspoke.coordination.admission.ChainAdmissionSettings;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.VmId;
import org.cornelspoke.util.Assert;

/**
 * Reads and validates the settings of a daemon: JSON with Java comments and trailing commas.
 *
 * <p>Immutable and thread-safe.
 */
public final class SettingsReader {

  private static final int DEFAULT_FRESHNESS_BOUND_MILLIS = 3_000;
  private static final int DEFAULT_SHARE_WAIT_MILLIS = 50;
  private static final int DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024;
  private static final int MIN_FRESHNESS_BOUND_MILLIS = 100;
  private static final int MAX_FRESHNESS_BOUND_MILLIS = 60_000;
  private static final int MAX_SHARE_WAIT_MILLIS = 10_000;
  private static final int MIN_KEEP_MILLIS = 10;
  private static final int MAX_KEEP_MILLIS = 1_000;
  private static final int MAX_MAX_BODY_BYTES = 1024 * 1024 * 1024;

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private final boolean portZeroAllowed;

  /** Creates a reader that rejects port 0, because clients could not know the selected port. */
  public SettingsReader() {
    this(false);
  }

  private SettingsReader(boolean portZeroAllowed) {
    this.portZeroAllowed = portZeroAllowed;
  }

  /** Returns a reader that accepts port 0 (any free port), for tests within one process. */
  public static SettingsReader forTests() {
    return new SettingsReader(true);
  }

  /**
   * Reads a settings file.
   *
   * @throws SettingsException if the file cannot be read or is invalid
   */
  public DaemonSettings read(Path file) throws SettingsException {
    try {
      return parse(Files.readString(file, StandardCharsets.UTF_8));
    } catch (NoSuchFileException e) {
      throw new SettingsException(file.toString(), "file does not exist");
    } catch (CharacterCodingException e) {
      throw new SettingsException(file.toString(), "file must be UTF-8 text");
    } catch (IOException e) {
      throw new SettingsException(file.toString(), "file can't be read: " + e.getMessage());
    }
  }

  /**
   * Parses the text of a settings file.
   *
   * @throws SettingsException if the text is invalid
   */
  public DaemonSettings parse(String text) throws SettingsException {
    JsonNode root;
    try {
      root = MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      JsonLocation location = e.getLocation();
      String position =
          location == null
              ? ""
              : "line " + location.getLineNr() + ", column " + location.getColumnNr();
      throw new SettingsException("$", "must be JSON: " + position + ": " + e.getOriginalMessage());
    }
    SettingsObject object = SettingsObject.root(root, portZeroAllowed);
    String role = object.text("role");
    DaemonSettings settings =
        switch (role) {
          case "traffic" -> traffic(object);
          case "control" -> control(object);
          default -> throw object.invalid("role", "must be \"traffic\" or \"control\"");
        };
    object.rejectUnknownFields();
    return settings;
  }

  private static TrafficSettings traffic(SettingsObject object) throws SettingsException {
    TrafficSettings settings =
        new TrafficSettings(
            object.textAs("daemonId", DaemonId::new),
            object.textAs("dataCentre", DataCentreId::new),
            object.endpoint("edgeAddress"),
            object.endpoint("linkAddress"),
            object.endpoint("localAddress"),
            object.endpoint("adminAddress"),
            controlEndpoints(object),
            object.enumConstant(
                "controlEndpointOrder", ControlEndpointOrder.class, ControlEndpointOrder.LISTED),
            object.intValue(
                "freshnessBoundMillis",
                DEFAULT_FRESHNESS_BOUND_MILLIS,
                MIN_FRESHNESS_BOUND_MILLIS,
                MAX_FRESHNESS_BOUND_MILLIS),
            object.enumConstant("staleKeys", StaleKeys.class, StaleKeys.REFUSE),
            object.intValue("shareWaitMillis", DEFAULT_SHARE_WAIT_MILLIS, 0, MAX_SHARE_WAIT_MILLIS),
            object.intValue("maxBodyBytes", DEFAULT_MAX_BODY_BYTES, 1, MAX_MAX_BODY_BYTES),
            learnedCapacity(object),
            chainAdmission(object),
            returns(object),
            log(object));
    if (!settings.localAddress().toSocketAddress().getAddress().isLoopbackAddress()) {
      throw object.invalid("localAddress", "must be a loopback address");
    }
    object.rejectDuplicateAddresses("edgeAddress", "linkAddress", "localAddress", "adminAddress");
    return settings;
  }

  private static ChainAdmissionSettings chainAdmission(SettingsObject object)
      throws SettingsException {
    Optional<SettingsObject> block = object.object("chainAdmission");
    if (block.isEmpty()) {
      return ChainAdmissionSettings.OFF;
    }
    ChainAdmissionSettings settings =
        new ChainAdmissionSettings(
            block.get().booleanValue("enabled", false),
            block
                .get()
                .doubleValue(
                    "targetUtilisation",
                    ChainAdmissionSettings.DEFAULT_TARGET_UTILISATION,
                    ChainAdmissionSettings.MIN_TARGET_UTILISATION,
                    ChainAdmissionSettings.MAX_TARGET_UTILISATION));
    block.get().rejectUnknownFields();
    return settings;
  }

  private static ReturnSettings returns(SettingsObject object) throws SettingsException {
    Optional<SettingsObject> block = object.object("returns");
    if (block.isEmpty()) {
      return ReturnSettings.DEFAULT;
    }
    ReturnSettings returns =
        new ReturnSettings(
            block.get().booleanValue("enabled", ReturnSettings.DEFAULT.enabled()),
            block
                .get()
                .intValue(
                    "keepMillis",
                    ReturnSettings.DEFAULT.keepMillis(),
                    MIN_KEEP_MILLIS,
                    MAX_KEEP_MILLIS));
    block.get().rejectUnknownFields();
    return returns;
  }

  private static LearnedCapacitySettings learnedCapacity(SettingsObject object)
      throws SettingsException {
    Optional<SettingsObject> block = object.object("learnedCapacity");
    if (block.isEmpty()) {
      return LearnedCapacitySettings.OFF;
    }
    SettingsObject fields = block.get();
    LearnedCapacitySettings settings =
        new LearnedCapacitySettings(
            fields.booleanValue("enabled", LearnedCapacitySettings.OFF.enabled()),
            fields.doubleValue(
                "minLimitFraction",
                LearnedCapacitySettings.OFF.minLimitFraction(),
                LearnedCapacitySettings.MIN_LIMIT_FRACTION,
                1),
            fields.intValue(
                "windowMillis",
                LearnedCapacitySettings.OFF.windowMillis(),
                LearnedCapacitySettings.MIN_WINDOW_MILLIS,
                LearnedCapacitySettings.MAX_WINDOW_MILLIS));
    fields.rejectUnknownFields();
    return settings;
  }

  private static ControlSettings control(SettingsObject object) throws SettingsException {
    VmId vmId = object.textAs("vmId", VmId::new);
    ControlSettings settings =
        new ControlSettings(
            vmId,
            object.textAs("dataCentre", DataCentreId::new),
            object.endpoint("relayAddress"),
            object.endpoint("peerAddress"),
            object.endpoint("adminAddress"),
            dataFolder(object),
            peers(object, vmId),
            GroupFormation.OPERATED,
            ControlSettings.DEFAULT_TARGET_VOTERS,
            bootstrapOperator(object),
            log(object));
    object.rejectDuplicateAddresses("relayAddress", "peerAddress", "adminAddress");
    return settings;
  }

  private static List<Endpoint> controlEndpoints(SettingsObject object) throws SettingsException {
    List<Endpoint> endpoints = object.endpoints("controlEndpoints");
    if (endpoints.isEmpty()) {
      throw object.invalid("controlEndpoints", "must name at least one relay address");
    }
    if (new HashSet<>(endpoints).size() != endpoints.size()) {
      throw object.invalid("controlEndpoints", "must not name an address twice");
    }
    return endpoints;
  }

  private static Path dataFolder(SettingsObject object) throws SettingsException {
    String text = object.text("dataFolder");
    try {
      return Path.of(text);
    } catch (InvalidPathException e) {
      throw object.invalid("dataFolder", "must be a path: " + e.getReason());
    }
  }

  private static List<PeerSettings> peers(SettingsObject object, VmId localVmId)
      throws SettingsException {
    List<PeerSettings> peers = new ArrayList<>();
    Set<VmId> vmIds = new HashSet<>(Set.of(localVmId));
    for (SettingsObject peerObject : object.objects("peers")) {
      PeerSettings peer =
          new PeerSettings(
              peerObject.textAs("vmId", VmId::new),
              peerObject.endpoint("peerAddress"),
              peerObject.endpoint("relayAddress"),
              peerObject.endpoint("adminAddress"));
      if (!vmIds.add(peer.vmId())) {
        throw peerObject.invalid("vmId", "must differ from this VM and from the other peers");
      }
      peerObject.rejectDuplicateAddresses("relayAddress", "peerAddress", "adminAddress");
      peerObject.rejectUnknownFields();
      peers.add(peer);
    }
    return peers;
  }

  private static Optional<BootstrapOperator> bootstrapOperator(SettingsObject object)
      throws SettingsException {
    Optional<SettingsObject> operatorObject = object.object("bootstrapOperator");
    if (operatorObject.isEmpty()) {
      return Optional.empty();
    }
    BootstrapOperator operator =
        new BootstrapOperator(
            operatorObject.get().textAs("id", OperatorId::new),
            operatorObject.get().textAs("tokenHashHex", SettingsReader::checkHash));
    operatorObject.get().rejectUnknownFields();
    return Optional.of(operator);
  }

  private static String checkHash(String text) {
    // The message must not contain the text: an operator may have entered the token itself.
    Assert.isTrue(
        text.matches("[0-9a-f]{64}"),
        "must be a SHA-256 hash in 64 lower-case hexadecimal digits, not the token itself");
    return text;
  }

  private static LogSettings log(SettingsObject object) throws SettingsException {
    return new LogSettings(
        object.enumConstant("logFormat", LogFormat.class, LogSettings.DEFAULT.format()),
        object.enumConstant("logLevel", LogLevel.class, LogSettings.DEFAULT.level()));
  }
}
