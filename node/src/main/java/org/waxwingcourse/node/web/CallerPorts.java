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
 * What the callers' interface needs of the rest of the node.
 *
 * @param clock the node's clock
 * @param configuration the configuration in force
 * @param authenticator decides whom a key belongs to
 * @param admission holds organisations to their rates
 * @param dispatcher runs inference requests
 * @param services runs calls of plain services
 * @param bodyPatience time in which a request's body must arrive
 * @param levels counts objectives met and missed
 */
public record CallerPorts(
    InstantSource clock,
    ConfigurationSource configuration,
    Authenticator authenticator,
    Admission admission,
    Dispatcher dispatcher,
    ServiceDispatcher services,
    Duration bodyPatience,
    ServiceLevels levels) {}
