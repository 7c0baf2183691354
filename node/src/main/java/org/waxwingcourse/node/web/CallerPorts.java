package org.waxwingcourse.node.web;

import java.time.Duration;
import java.time.InstantSource;
import org.waxwingcourse.model.fleet.ConfigurationSource;
import org.waxwingcourse.model.request.Admission;
import org.waxwingcourse.model.request.Authenticator;
import org.waxwingcourse.model.request.Dispatcher;
import org.waxwingcourse.node.dispatch.ServiceDispatcher;
import org.waxwingcourse.node.metrics.ServiceLevels;

/**
 * The components of the node that the caller interface depends on.
 *
 * @param clock the node's clock
 * @param configuration the configuration in force
 * @param authenticator resolves a key to its organisation
 * @param admission enforces the organisations' rates
 * @param dispatcher executes inference requests
 * @param services executes calls of plain services
 * @param bodyTimeout time within which a request's body must arrive
 * @param levels counts how often the service-level objectives are met
 */
public record CallerPorts(
    InstantSource clock,
    ConfigurationSource configuration,
    Authenticator authenticator,
    Admission admission,
    Dispatcher dispatcher,
    ServiceDispatcher services,
    Duration bodyTimeout,
    ServiceLevels levels) {}
