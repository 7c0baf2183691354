package org.waxwingcourse.model.fleet;

import java.net.URI;
import java.util.List;
import org.waxwingcourse.model.id.ServiceName;

/**
 * A plain service that requests under {@code /services/<name>/} go to.
 *
 * @param name the name in the path
 * @param addresses base addresses of its instances
 * @param repeatable whether a call may be sent more than once
 * @param open whether calls need no key
 */
public record PlainService(
    ServiceName name, List<URI> addresses, boolean repeatable, boolean open) {
  /** Copies the addresses. */
  public PlainService {
    addresses = List.copyOf(addresses);
  }
}
