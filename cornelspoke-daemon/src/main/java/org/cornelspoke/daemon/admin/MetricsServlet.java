package org.cornelspoke.daemon.admin;

import static io.activej.http.HttpMethod.GET;

import com.codahale.metrics.Metered;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Supplier;

/** Registers the metrics and health paths, which need no operator token. */
final class MetricsServlet {

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final MetricRegistry metrics;
  private final Supplier<Health> health;
  private final DropwizardExports exports;
  private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

  MetricsServlet(MetricRegistry metrics, Supplier<Health> health) {
    this.metrics = metrics;
    this.health = health;
    this.exports = new DropwizardExports(metrics);
  }

  void addTo(RoutingServlet.Builder routes) {
    routes
        .with(GET, "/metrics", request -> text().toPromise())
        .with(GET, "/metrics.json", request -> Answers.json(OK, json()).toPromise())
        .with(GET, "/healthz", request -> health().toPromise());
  }

  private HttpResponse text() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    writer.write(bytes, exports.collect());
    return HttpResponse.ofCode(OK)
        .withHeader(HttpHeaders.CONTENT_TYPE, writer.getContentType())
        .withBody(bytes.toByteArray())
        .build();
  }

  private HttpResponse health() {
    Health current = health.get();
    return Answers.json(
        current.healthy() ? OK : UNAVAILABLE,
        JsonConverter.object().put("healthy", current.healthy()).put("detail", current.detail()));
  }

  private ObjectNode json() {
    ObjectNode root = JsonConverter.object();
    ObjectNode gauges = root.putObject("gauges");
    metrics.getGauges().forEach((name, gauge) -> putValue(gauges, name, gauge.getValue()));
    ObjectNode counters = root.putObject("counters");
    metrics.getCounters().forEach((name, counter) -> counters.put(name, counter.getCount()));
    ObjectNode meters = root.putObject("meters");
    metrics.getMeters().forEach((name, meter) -> addMeter(meters.putObject(name), meter));
    ObjectNode histograms = root.putObject("histograms");
    metrics
        .getHistograms()
        .forEach(
            (name, histogram) ->
                addSnapshot(
                    histograms.putObject(name).put("count", histogram.getCount()),
                    histogram.getSnapshot()));
    ObjectNode timers = root.putObject("timers");
    metrics
        .getTimers()
        .forEach(
            (name, timer) -> {
              ObjectNode node = timers.putObject(name).put("unit", "nanoseconds");
              addMeter(node, timer);
              addSnapshot(node, timer.getSnapshot());
            });
    return root;
  }

  private static void putValue(ObjectNode node, String name, Object value) {
    if (value instanceof Long || value instanceof Integer) {
      node.put(name, ((Number) value).longValue());
    } else if (value instanceof Number number && Double.isFinite(number.doubleValue())) {
      node.put(name, number.doubleValue());
    } else if (value instanceof Boolean flag) {
      node.put(name, flag);
    } else if (value instanceof Number || value == null) {
      // JSON cannot represent NaN or infinity.
      node.putNull(name);
    } else {
      node.put(name, value.toString());
    }
  }

  private static void addMeter(ObjectNode node, Metered meter) {
    node.put("count", meter.getCount())
        .put("meanPerSecond", meter.getMeanRate())
        .put("oneMinutePerSecond", meter.getOneMinuteRate());
  }

  private static void addSnapshot(ObjectNode node, Snapshot snapshot) {
    node.put("min", snapshot.getMin())
        .put("max", snapshot.getMax())
        .put("mean", snapshot.getMean())
        .put("p50", snapshot.getMedian())
        .put("p95", snapshot.get95thPercentile())
        .put("p99", snapshot.get99thPercentile())
        .put("p999", snapshot.get999thPercentile());
  }
}
