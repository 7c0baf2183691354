package org.waxwingcourse.node.agree;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.policy.trust.AgreementStatus;
import org.waxwingcourse.policy.trust.HostVersions;

/** Writes what a node knows about its own lag and the other hosts' as one JSON object. */
final class StatusJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private StatusJson() {}

  static ObjectNode write(
      HostId host, AgreementStatus status, int listed, List<HostVersions> others) {
    long own = status.versions().configuration().value();
    ObjectNode root = MAPPER.createObjectNode();
    root.put("host", host.value());
    root.put("configuration", own);
    root.put("trusted", status.current());
    root.put("store_answers", status.storeAnswers());
    status.evidenceAge().ifPresent(age -> root.put("evidence_age_ms", age.toMillis()));
    status.missing().ifPresent(m -> root.put("missing_configuration", m.configuration().value()));
    root.put("roster", status.versions().roster().value());
    root.put("roster_hosts", listed);
    ArrayNode hosts = root.putArray("hosts");
    for (HostVersions other : others) {
      long theirs = other.versions().configuration().value();
      hosts
          .addObject()
          .put("host", other.host().value())
          .put("configuration", theirs)
          .put("lags", theirs < own)
          .put("heard_ms_ago", other.heardAgo().toMillis());
    }
    return root;
  }
}
