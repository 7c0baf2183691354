/** The platform stand-in: a store with the etcd API and a delayed host list over HTTP. */
package org.waxwingcourse.standin.platform;
