package org.cornelspoke.daemon.admin;

import static io.activej.http.HttpMethod.DELETE;
import static io.activej.http.HttpMethod.GET;
import static io.activej.http.HttpMethod.POST;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.util.List;
import org.cornelspoke.daemon.admin.AttachedDaemons.DaemonStatus;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;

/** Registers the API paths for status, audit trail, targets, daemons and group members. */
final class GroupServlet {

  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int DEFAULT_AUDIT_LIMIT = 100;
  private static final int MAX_AUDIT_LIMIT = 1_000;

  private final AdminBackend backend;

  GroupServlet(AdminBackend backend) {
    this.backend = backend;
  }

  void addTo(RoutingServlet.Builder routes) {
    routes
        .with(GET, "/v1/status", request -> status())
        .with(GET, "/v1/audit", request -> audit(new ApiRequest(request)))
        .with(GET, "/v1/targets", request -> targets())
        .with(GET, "/v1/daemons", request -> daemons())
        .with(GET, "/v1/members", request -> members())
        .with(POST, "/v1/members", request -> addLearner(new ApiRequest(request)))
        .with(
            POST,
            "/v1/members/:id/promote",
            http -> {
              ApiRequest request = new ApiRequest(http);
              VmId vmId = request.pathId(VmId::new);
              return change(request, request.requestId(), new MembershipRequest.Promote(vmId), OK);
            })
        .with(
            DELETE,
            "/v1/members/:id",
            http -> {
              ApiRequest request = new ApiRequest(http);
              VmId vmId = request.pathId(VmId::new);
              return change(request, request.requestId(), new MembershipRequest.Remove(vmId), OK);
            });
  }

  private Promise<HttpResponse> status() {
    return backend
        .groupStatus()
        .then(
            group ->
                backend
                    .attachedDaemons()
                    .then(
                        daemons ->
                            backend
                                .targets()
                                .map(
                                    targets -> Answers.json(OK, status(group, daemons, targets)))));
  }

  private static ObjectNode status(
      GroupStatus group, AttachedDaemons attached, List<Target> targets) {
    ObjectNode node = JsonConverter.groupStatus(group);
    List<DaemonStatus> daemons = attached.daemons();
    long behind =
        daemons.stream()
            .filter(daemon -> group.appliedRevision().isAfter(daemon.appliedRevision()))
            .count();
    ObjectNode summary =
        JsonConverter.object()
            .put("attached", daemons.size())
            .put("behind", behind)
            .put(
                "oldestFreshnessAgeMillis",
                daemons.stream().mapToLong(DaemonStatus::freshnessAgeMillis).max().orElse(0));
    summary.set("missingRelays", JsonConverter.vmIds(attached.missingRelays()));
    node.set("daemons", summary);
    node.set(
        "targets",
        JsonConverter.object()
            .put("up", count(targets, TargetState.UP))
            .put("draining", count(targets, TargetState.DRAINING)));
    return node;
  }

  private Promise<HttpResponse> audit(ApiRequest request) throws ApiException {
    long limit = request.queryNumber("limit").orElse(DEFAULT_AUDIT_LIMIT);
    if (limit < 1 || limit > MAX_AUDIT_LIMIT) {
      throw ApiException.badRequest("limit: must be between 1 and " + MAX_AUDIT_LIMIT);
    }
    return backend
        .auditEntries(request.queryNumber("from"), (int) limit)
        .map(
            entries -> {
              ObjectNode node = JsonConverter.object();
              node.set("entries", JsonConverter.array(entries, JsonConverter::auditEntry));
              return Answers.json(OK, node);
            });
  }

  private Promise<HttpResponse> targets() {
    return backend
        .targets()
        .map(
            targets -> {
              ObjectNode node = JsonConverter.object();
              node.set("targets", JsonConverter.array(targets, JsonConverter::target));
              return Answers.json(OK, node);
            });
  }

  private Promise<HttpResponse> daemons() {
    return backend
        .attachedDaemons()
        .map(
            attached -> {
              ObjectNode node = JsonConverter.object();
              node.set("daemons", JsonConverter.array(attached.daemons(), JsonConverter::daemon));
              node.set("missingRelays", JsonConverter.vmIds(attached.missingRelays()));
              return Answers.json(OK, node);
            });
  }

  private Promise<HttpResponse> members() {
    return backend.groupStatus().map(status -> Answers.json(OK, JsonConverter.groupStatus(status)));
  }

  private Promise<HttpResponse> addLearner(ApiRequest request) throws ApiException {
    RequestId requestId = request.requestId();
    return request
        .readBody()
        .then(
            body -> {
              MembershipRequest.AddLearner change =
                  new MembershipRequest.AddLearner(
                      body.textAs("vmId", VmId::new),
                      body.textAs("peerAddress", Endpoint::parse),
                      body.textAs("relayAddress", Endpoint::parse),
                      body.textAs("adminAddress", Endpoint::parse));
              body.rejectUnknownFields();
              return change(request, requestId, change, CREATED);
            });
  }

  private Promise<HttpResponse> change(
      ApiRequest request,
      RequestId requestId,
      MembershipRequest.Change change,
      int committedStatus) {
    return backend
        .changeMembership(new MembershipRequest(requestId, request.operator(), change))
        .map(
            result -> {
              if (result instanceof MembershipResult.Refused refused) {
                throw ApiException.rejected(refused.reason());
              }
              MembershipResult.Committed committed = (MembershipResult.Committed) result;
              return Answers.json(
                  committedStatus,
                  JsonConverter.object()
                      .put("outcome", "accepted")
                      .put("index", committed.index())
                      .put("requestId", requestId.value()));
            });
  }

  private static long count(List<Target> targets, TargetState state) {
    return targets.stream().filter(target -> target.state() == state).count();
  }
}
