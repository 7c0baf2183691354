package org.waxwingcourse.node.agree;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.policy.trust.AgreementStatus;
import org.waxwingcourse.policy.trust.HostVersions;

/** Converts the status of a node and the known versions of other hosts to a JSON object. */
final class StatusJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private StatusJson() {}

  static ObjectNode toJson(
      HostId host, AgreementStatus status, int rosterSize, List<HostVersions> others) {
    long ownConfiguration = status.versions().configuration().value();
    ObjectNode root = MAPPER.createObjectNode();
    root.put("host", host.value());
    root.put("configuration", ownConfiguration);
    root.put("trusted", status.current());
    root.put("store_answers", status.storeAnswers());
    status.evidenceAge().ifPresent(age -> root.put("evidence_age_ms", age.toMillis()));
    status.missing().ifPresent(m -> root.put("missing_configuration", m.configuration().value()));
    root.put("roster", status.versions().roster().value());
    root.put("roster_hosts", rosterSize);
    ArrayNode hosts = root.putArray("hosts");
    for (HostVersions other : others) {
      long otherConfiguration = other.versions().configuration().value();
      hosts
          .addObject()
          .put("host", other.host().value())
          .put("configuration", otherConfiguration)
          .put("lags", otherConfiguration < ownConfiguration)
          .put("heard_ms_ago", other.heardAgo().toMillis());
    }
    return root;
  }
}
