/** The client for model engines: completions, load, cache events, cancel, resume and orders. */
package org.waxwingcourse.upstream.engine;
