/** Passes calls through to plain services. */
package org.waxwingcourse.upstream.service;
