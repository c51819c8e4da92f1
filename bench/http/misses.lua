-- Each request asks for something that nobody has asked for before.
local seed
function init(args)
  math.randomseed(os.time() + tonumber(tostring({}):sub(8), 16) % 100000)
  seed = math.random(1, 2147483647)
end
local n = 0
request = function()
  n = n + 1
  return wrk.format("GET", "/miss/" .. seed .. "-" .. n)
end
