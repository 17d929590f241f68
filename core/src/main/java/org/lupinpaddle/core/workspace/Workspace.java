/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.core.workspace;

import java.util.List;
import java.util.Set;
import org.lupinpaddle.core.placement.Resources;

/**
 * A tenant of the fleet with its own API keys, capacity share and quota.
 *
 * @param name the workspace's name
 * @param keys digests of the accepted API keys; if empty, no request is accepted for it
 * @param weight the share of scarce capacity, in jobs per second; 0 if not configured
 * @param maximum the resources that its running work may use across all workers; an amount of 0 is unlimited
 */
public record Workspace(String name, List<KeyDigest> keys, double weight, Resources maximum) {

    /** Returns whether any resource is limited. */
    public boolean isLimited() {
        return !maximum.equals(Resources.NONE);
    }

    /** Returns a copy without the given keys. */
    Workspace withoutKeys(Set<KeyDigest> removed) {
        List<KeyDigest> remaining =
                keys.stream().filter(k -> !removed.contains(k)).toList();
        return new Workspace(name, remaining, weight, maximum);
    }
}
