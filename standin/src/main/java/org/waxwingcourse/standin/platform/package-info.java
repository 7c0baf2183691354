/** The platform stand-in: an etcd-like store and a lagging host list over HTTP. */
package org.waxwingcourse.standin.platform;
