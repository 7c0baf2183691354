package org.waxwingcourse.model.member;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.waxwingcourse.model.id.HostId;

/** The hosts that this host knows, including itself. Implementations are thread-safe. */
public interface MembershipView {
  /** Returns this host. */
  Member self();

  /** Returns all hosts that are not dead, ordered by name. */
  List<Member> members();

  /** Returns the host with the given name, whatever its state, or empty if it is not known. */
  Optional<Member> find(HostId host);

  /** Adds a listener that is called with the members after each change. */
  void onChange(Consumer<List<Member>> listener);
}
