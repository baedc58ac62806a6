package org.cornelspoke.daemon.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cornelspoke.coordination.admission.ChainAdmissionSettings;
import org.cornelspoke.model.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {

  private static final String TRAFFIC =
      """
      {
        "role": "traffic",
        "daemonId": "pasok-1",
        "dataCentre": "pampanga",
        "edgeAddress": "127.0.0.1:8080",   // callers, and nested calls of the upstream
        "linkAddress": "127.0.0.1:8081",
        "localAddress": "127.0.0.1:8082",
        "adminAddress": "127.0.0.1:8083",
        "controlEndpoints": ["127.0.0.1:9001", "127.0.0.1:9011"], /* two relays */
      }
      """;

  private static final String CONTROL =
      """
      {
        "role": "control",
        "vmId": "control-1",
        "dataCentre": "pampanga",
        "relayAddress": "127.0.0.1:9001",
        "peerAddress": "127.0.0.1:9002",
        "adminAddress": "127.0.0.1:9003",
        "dataFolder": "run/control-1",
        "peers": [{"vmId": "control-2", "peerAddress": "127.0.0.1:9012",
                   "relayAddress": "127.0.0.1:9011", "adminAddress": "127.0.0.1:9013"}],
        "bootstrapOperator": {"id": "admin", "tokenHashHex": "%s"}
      }
      """
          .formatted("0a".repeat(32));

  /** Guards against defaults that differ from the documented values. */
  @Test
  void fillsDefaults() throws Exception {
    TrafficSettings settings = (TrafficSettings) new SettingsReader().parse(TRAFFIC);
    assertThat(settings.edgeAddress()).isEqualTo(new Endpoint("127.0.0.1", 8080));
    assertThat(settings.controlEndpoints()).hasSize(2);
    assertThat(settings.freshnessBoundMillis()).isEqualTo(3_000);
    assertThat(settings.staleKeys()).isEqualTo(StaleKeys.REFUSE);
    assertThat(settings.controlEndpointOrder()).isEqualTo(ControlEndpointOrder.LISTED);
    assertThat(settings.shareWaitMillis()).isEqualTo(50);
    assertThat(settings.maxBodyBytes()).isEqualTo(8_388_608);
    assertThat(settings.log()).isEqualTo(new LogSettings(LogFormat.TEXT, LogLevel.INFO));
    assertThat(settings.learnedCapacity()).isEqualTo(LearnedCapacitySettings.OFF);
    assertThat(settings.learnedCapacity().enabled()).isFalse();
  }

  /** Guards against fields of the learned capacity that are not read. */
  @Test
  void readsLearnedCapacity() throws Exception {
    String block =
        "\"learnedCapacity\": {\"enabled\": true, \"minLimitFraction\": 0.5,"
            + " \"windowMillis\": 200},";
    TrafficSettings settings =
        (TrafficSettings) new SettingsReader().parse(TRAFFIC.replace("/* two relays */", block));
    assertThat(settings.learnedCapacity()).isEqualTo(new LearnedCapacitySettings(true, 0.5, 200));
  }

  /** Guards against chain admission that is on without being asked for, or ignores its block. */
  @Test
  void readsChainAdmission() throws Exception {
    TrafficSettings defaults = (TrafficSettings) new SettingsReader().parse(TRAFFIC);
    assertThat(defaults.chainAdmission()).isEqualTo(new ChainAdmissionSettings(false, 0.9));
    TrafficSettings settings =
        (TrafficSettings)
            new SettingsReader()
                .parse(
                    TRAFFIC.replace(
                        "/* two relays */",
                        "\"chainAdmission\": {\"enabled\": true, \"targetUtilisation\": 0.8}"));
    assertThat(settings.chainAdmission()).isEqualTo(new ChainAdmissionSettings(true, 0.8));
  }

  /** Guards against return times that are on by default or can't be switched on. */
  @Test
  void readsReturnSettings() throws Exception {
    TrafficSettings settings = (TrafficSettings) new SettingsReader().parse(TRAFFIC);
    assertThat(settings.returns()).isEqualTo(new ReturnSettings(false, 100));
    String enabled =
        TRAFFIC.replace("/* two relays */", "\"returns\": {\"enabled\": true, \"keepMillis\": 80}");
    settings = (TrafficSettings) new SettingsReader().parse(enabled);
    assertThat(settings.returns()).isEqualTo(new ReturnSettings(true, 80));
  }

  /** Guards against fields of the documented control settings that are not read. */
  @Test
  void readsControlSettings() throws Exception {
    ControlSettings settings = (ControlSettings) new SettingsReader().parse(CONTROL);
    assertThat(settings.dataFolder()).isEqualTo(Path.of("run/control-1"));
    assertThat(settings.peers()).hasSize(1);
    assertThat(settings.peers().get(0).relayAddress().port()).isEqualTo(9011);
    assertThat(settings.bootstrapOperator().orElseThrow().tokenHashHex()).startsWith("0a0a");
  }

  /** Guards against invalid settings that are accepted or reported for the wrong field. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"role\": \"traffic\" | \"role\": \"edge\" | role: must be \"traffic\" or \"control\"",
        "\"role\": \"traffic\" | \"role\": 1 | role: must be text, not a number",
        "\"pasok-1\" | \" \" | daemonId: must not be blank",
        "\"pampanga\" | \"Pampanga!\" | dataCentre: DataCentreId must match",
        "\"dataCentre\": \"pampanga\", | '' | dataCentre: missing; a value is required",
        "\"daemonId\" | \"deamonId\" | daemonId: missing; a value is required",
        "\"127.0.0.1:8080\" | null | edgeAddress: must not be null",
        "127.0.0.1:8080 | localhost:8080 | edgeAddress: must start with an IP number",
        "127.0.0.1:8080 | 300.0.0.1:8080 | edgeAddress: must start with an IP number",
        "127.0.0.1:8080 | 8080 | edgeAddress: must have the form ip:port",
        "127.0.0.1:8080 | 127.0.0.1:x | edgeAddress: port must be a number",
        "127.0.0.1:8080 | 127.0.0.1:0 | edgeAddress: port must be between 1 and 65535",
        "127.0.0.1:8080 | 127.0.0.1:65536 | edgeAddress: port must be between 1 and 65535",
        "127.0.0.1:8081 | 127.0.0.1:8080 | linkAddress: must differ from edgeAddress",
        "127.0.0.1:8082 | 10.0.0.1:8082 | localAddress: must be a loopback address",
        "127.0.0.1:9011 | x:9011 | controlEndpoints[1]: must start with an IP number",
        "127.0.0.1:9011 | 127.0.0.1:9001 | controlEndpoints: must not name an address twice",
        "[\"127.0.0.1:9001\", \"127.0.0.1:9011\"] | [] | controlEndpoints: must name at least",
        "[\"127.0.0.1:9001\", \"127.0.0.1:9011\"] | \"x\" | controlEndpoints: must be a list",
        "/* two relays */ | \"peers\": [] | peers: unknown field",
        "/* two relays */ | \"freshnessBoundMillis\": \"3 s\" | freshnessBoundMillis: must",
        "/* two relays */ | \"freshnessBoundMillis\": 99 | freshnessBoundMillis: must be between",
        "/* two relays */ | \"freshnessBoundMillis\": 1.5 | freshnessBoundMillis: must be a whole",
        "/* two relays */ | \"freshnessBoundSeconds\": 3 | "
            + "freshnessBoundSeconds: unknown field; did you mean freshnessBoundMillis?",
        "/* two relays */ | \"staleKeys\": \"keep\" | "
            + "staleKeys: must be one of \"refuse\", \"serve\"",
        "/* two relays */ | \"controlEndpointOrder\": \"any\" | "
            + "controlEndpointOrder: must be one of \"listed\", \"spread\"",
        "/* two relays */ | \"shareWaitMillis\": -1 | shareWaitMillis: must be between 0 and 10000",
        "/* two relays */ | \"maxBodyBytes\": 99999999999 | maxBodyBytes: must be between 1 and",
        "/* two relays */ | \"returns\": true | returns: must be an object, not a boolean",
        "/* two relays */ | \"returns\": {\"enabled\": 1} | returns.enabled: must be true or false",
        "/* two relays */ | \"returns\": {\"keepMillis\": 9} | returns.keepMillis: must be between",
        "/* two relays */ | \"returns\": {\"keep\": 9} | returns.keep: unknown field",
        "/* two relays */ | \"learnedCapacity\": {\"enabled\": 1} | "
            + "learnedCapacity.enabled: must be true or false",
        "/* two relays */ | \"learnedCapacity\": {\"minLimitFraction\": 0.2} | "
            + "learnedCapacity.minLimitFraction: must be between 0.25 and 1.0",
        "/* two relays */ | \"learnedCapacity\": {\"minLimitFraction\": \"x\"} | "
            + "learnedCapacity.minLimitFraction: must be a number",
        "/* two relays */ | \"learnedCapacity\": {\"windowMillis\": 5} | "
            + "learnedCapacity.windowMillis: must be between 20 and 1000",
        "/* two relays */ | \"learnedCapacity\": {\"window\": 5} | "
            + "learnedCapacity.window: unknown field",
        "/* two relays */ | \"logFormat\": \"xml\" | logFormat: must be one of \"text\", \"json\"",
        "/* two relays */ | \"logLevel\": \"loud\" | logLevel: must be one of",
        "/* two relays */ | \"logLevel\": \"info\", \"logLevel\": \"warn\" | $: must be JSON",
        "/* two relays */ | \"chainAdmission\": true | chainAdmission: must be an object",
        "/* two relays */ | \"chainAdmission\": {\"enabled\": 1} | "
            + "chainAdmission.enabled: must be true or false, not a number",
        "/* two relays */ | \"chainAdmission\": {\"targetUtilisation\": 1.2} | "
            + "chainAdmission.targetUtilisation: must be between 0.1 and 1.0",
        "/* two relays */ | \"chainAdmission\": {\"targetUtilisation\": \"x\"} | "
            + "chainAdmission.targetUtilisation: must be a number",
        "/* two relays */ | \"chainAdmission\": {\"target\": 1} | "
            + "chainAdmission.target: unknown field",
        "\"role\": \"traffic\" | \"role\" \"traffic\" | $: must be JSON: line 2"
      })
  void refusesTrafficSettings(String from, String to, String message) {
    assertRefused(TRAFFIC, from, to, message);
  }

  /** Guards against invalid control settings that are accepted or reported for the wrong field. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"run/control-1\" | \"\" | dataFolder: must not be blank",
        "\"control-2\" | \"control-1\" | peers[0].vmId: must differ from this VM",
        "\"control-2\" | \"\" | peers[0].vmId: must not be blank",
        "127.0.0.1:9012 | peer:9012 | peers[0].peerAddress: must start with an IP number",
        "127.0.0.1:9013 | 127.0.0.1:9011 | peers[0].adminAddress: must differ from peers[0].relay",
        "\"vmId\": \"control-2\" | \"id\": 1, \"vmId\": \"control-2\" | peers[0].id: unknown field",
        "\"id\": \"admin\" | \"name\": \"admin\" | bootstrapOperator.id: missing",
        "\"0a0a | \"secret | bootstrapOperator.tokenHashHex: must be a SHA-256 hash",
        "\"dataFolder\" | \"daemonId\": \"x\", \"dataFolder\" | daemonId: unknown field"
      })
  void refusesControlSettings(String from, String to, String message) {
    assertRefused(CONTROL, from, to, message);
  }

  /** Guards against an error message that exposes a token entered in place of its hash. */
  @Test
  void doesNotRepeatToken() {
    SettingsException failure =
        assertThrows(
            SettingsException.class,
            () -> new SettingsReader().parse(CONTROL.replace("0a".repeat(32), "my-token")));
    assertThat(failure).hasMessageThat().doesNotContain("my-token");
  }

  /** Guards against port 0 outside tests, where clients could not know the selected port. */
  @Test
  void allowsPortZeroInTestsOnly() throws Exception {
    String text = TRAFFIC.replace("127.0.0.1:8081", "127.0.0.1:0").replace("8082", "0");
    assertThrows(SettingsException.class, () -> new SettingsReader().parse(text));
    TrafficSettings settings = (TrafficSettings) SettingsReader.forTests().parse(text);
    assertThat(settings.linkAddress().port()).isEqualTo(0);
  }

  /** Guards against a stack trace instead of a settings error for an unreadable file. */
  @Test
  void refusesUnreadableFiles(@TempDir Path folder) throws Exception {
    Path missing = folder.resolve("missing.json");
    SettingsException failure =
        assertThrows(SettingsException.class, () -> new SettingsReader().read(missing));
    assertThat(failure).hasMessageThat().contains("missing.json: file does not exist");
    Path binary = Files.write(folder.resolve("binary.json"), new byte[] {(byte) 0xff, (byte) 0xfe});
    failure = assertThrows(SettingsException.class, () -> new SettingsReader().read(binary));
    assertThat(failure).hasMessageThat().contains("must be UTF-8");
  }

  private static void assertRefused(String text, String from, String to, String message) {
    assertThat(text).contains(from);
    String changed = text.replaceFirst(Pattern.quote(from), Matcher.quoteReplacement(to));
    SettingsException failure =
        assertThrows(SettingsException.class, () -> new SettingsReader().parse(changed));
    assertThat(failure).hasMessageThat().startsWith(message);
    assertThat(failure).hasMessageThat().doesNotContain("\n");
  }
}
