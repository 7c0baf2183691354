/** Settings of one node. */
package org.waxwingcourse.config.settings;
