package org.waxwingcourse.model.id;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class RequestFingerprintTest {
  private static RequestFingerprint of(String organisation, String target, String body) {
    return RequestFingerprint.of(organisation, target, body.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void differsInOrganisationTargetAndBodyOnly() {
    RequestFingerprint one = of("parish", "/q/1", "question");
    assertThat(of("parish", "/q/1", "question")).isEqualTo(one).hasSameHashCodeAs(one);
    assertThat(of("other", "/q/1", "question")).isNotEqualTo(one);
    assertThat(of("parish", "/q/1?", "question")).isNotEqualTo(one);
    assertThat(of("parish", "/q/1", "question ")).isNotEqualTo(one);
    assertThat(of("parish/q", "/1", "question")).isNotEqualTo(one);
    assertThat(of("parish", "/q/1question", "")).isNotEqualTo(one);
  }

  @Test
  void requestsOfOneOrganisationHaveOneOwner() {
    assertThat(of("parish", "/q/1", "a").owner()).isEqualTo(of("parish", "/q/2", "b").owner());
    assertThat(of("parish", "/q/1", "a").owner()).isNotEqualTo(of("other", "/q/1", "a").owner());
  }
}
