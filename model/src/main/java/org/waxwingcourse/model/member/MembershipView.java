package org.waxwingcourse.model.member;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.waxwingcourse.model.id.HostId;

/** The hosts that this host knows of, itself included. Safe for use by several threads. */
public interface MembershipView {
  /** Returns this host. */
  Member self();

  /** Returns every host that is not dead, in the order of names. */
  List<Member> members();

  /** Returns a host by name, dead or not. */
  Optional<Member> find(HostId host);

  /** Calls the listener with the members after each change. */
  void onChange(Consumer<List<Member>> listener);
}
