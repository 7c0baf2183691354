package org.waxwingcourse.model.fleet;

import java.net.URI;
import java.util.List;
import org.waxwingcourse.model.id.ServiceName;

/**
 * A plain service, to which requests under {@code /services/<name>/} are forwarded.
 *
 * @param name the name in the request path
 * @param addresses the base addresses of its instances
 * @param repeatable whether a request may be sent more than once
 * @param open whether requests are accepted without a key
 */
public record PlainService(
    ServiceName name, List<URI> addresses, boolean repeatable, boolean open) {
  /** Makes an immutable copy of the addresses. */
  public PlainService {
    addresses = List.copyOf(addresses);
  }
}
