/** TOML files checked against a schema, with the position of each problem. */
package org.waxwingcourse.config.toml;
