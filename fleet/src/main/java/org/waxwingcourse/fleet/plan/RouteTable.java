package org.waxwingcourse.fleet.plan;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Finds the route with the longest path prefix that matches among the routes of a host name. */
public final class RouteTable {
  private static final Comparator<Route> LONGEST_FIRST =
      Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();

  private final Map<String, List<Route>> byHost = new HashMap<>();

  private RouteTable(List<Route> routes) {
    routes.forEach(r -> byHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r));
    byHost.values().forEach(list -> list.sort(LONGEST_FIRST));
  }

  /** Returns a table of the given routes. */
  public static RouteTable of(List<Route> routes) {
    return new RouteTable(routes);
  }

  /**
   * Returns the route of a request, none if no route matches.
   *
   * @param hostHeader the host that the caller requested, with or without a port
   * @param target path and query
   */
  public Option<Route> find(String hostHeader, String target) {
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    List<Route> candidates = byHost.getOrDefault(hostName(hostHeader), List.of());
    return Option.ofOptional(
        candidates.stream().filter(r -> path.startsWith(r.pathPrefix())).findFirst());
  }

  /** Returns the route of kind JOB with a name, none if there is no such route. */
  public Option<Route> findJobRoute(String name) {
    return Option.ofOptional(
        all().stream()
            .filter(r -> r.name().equals(name) && r.kind() == RequestKind.JOB)
            .findFirst());
  }

  /** Returns all routes. */
  public List<Route> all() {
    return byHost.values().stream().flatMap(List::stream).toList();
  }

  private static String hostName(String header) {
    int port = header.lastIndexOf(':');
    return (port < 0 ? header : header.substring(0, port)).toLowerCase(Locale.ROOT);
  }
}
