/** The settings of one node and their schema. */
package org.waxwingcourse.config.settings;
