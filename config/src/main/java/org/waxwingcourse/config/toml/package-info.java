/** Validation of TOML files against a schema, with the position of each problem. */
package org.waxwingcourse.config.toml;
