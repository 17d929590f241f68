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
package org.lupinpaddle.core.queue;

import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.workspace.KeyDigest;

/**
 * The parts of a caller's request that decide whether it is admitted.
 *
 * @param host the requested host
 * @param path the requested path
 * @param key the digest of the API key; null if the request has none
 */
public record CallerRequest(
        String host, String path, @Nullable KeyDigest key) {}
